/// Typed reading of a JSON document. All faults are collected, each with its path, value and reason, so that an operator
/// sees every fault of a document at once.
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Parses JSON text whose nesting is at most 16 levels deep. The error says where the text is malformed. Thread safe.
absl::StatusOr<nlohmann::json> parseDocument(std::string_view text);

/// Reads one object inside a document. Reads don't throw on a wrong field; they add a fault and leave the target unchanged.
/// An empty string in a required field is a fault too, but is stored. Not thread safe; a reader is used by one parse.
class DocumentReader {
public:
    /// `path` is the path of the object for faults, "$" for the root. Precondition: `value`, `faults` and `warnings`
    /// outlive the reader.
    DocumentReader(const nlohmann::json& value, std::string path, std::vector<std::string>& faults, std::vector<std::string>& warnings);

    /// Reads one field, as do the overloads below. An absent field is a fault only if it is required.
    void read(const char* field, std::string& target, bool required);
    void read(const char* field, bool& target);
    /// The bounds of this overload and those below are inclusive.
    void read(const char* field, uint64_t& target, uint64_t low, uint64_t high, bool required);
    void read(const char* field, uint32_t& target, uint32_t low, uint32_t high, bool required);
    void read(const char* field, int& target, int low, int high, bool required);
    void read(const char* field, double& target, double low, double high);

    /// Returns a reader for each element of an array field; none when the field is absent, which is a fault if it is
    /// required.
    std::vector<DocumentReader> readArray(const char* field, bool required);
    /// Returns a reader for the object in a field. It is a fault if the field is absent or not an object.
    DocumentReader readObject(const char* field);
    /// Returns the strings of an array field; none when the field is absent or, which is a fault, not an array of strings.
    std::vector<std::string> readStrings(const char* field);

    bool hasField(const char* field) const;
    /// Adds a fault on a field, or on this object when `field` is empty.
    void addFault(std::string_view field, std::string_view reason);
    /// Adds a warning for each field that was not read. Precondition: all reads are done; called once.
    void reportUnknownFields();

    const std::string& path() const { return this->ownPath; }

private:
    const nlohmann::json* findField(const char* field, bool required);
    bool readInteger(const char* field, double low, double high, bool required, int64_t& target);
    std::string fieldPath(std::string_view field) const;

    const nlohmann::json* value;
    std::string ownPath;
    std::vector<std::string>* faults;
    std::vector<std::string>* warnings;
    std::vector<std::string> knownFields;
};

} // namespace bilberry
