/// Typed reading of a JSON document that keeps every fault with its path, value and reason.
#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Parses JSON text with bounded nesting; the error says where the text is broken. Thread safe.
absl::StatusOr<nlohmann::json> parseDocument(std::string_view text);

/// One object inside a document. Reads never throw: a wrong field becomes a fault and leaves the target unchanged.
/// Not thread safe; a reader is used by one parse.
class DocumentReader {
public:
    /// Precondition: `value`, `faults` and `warnings` outlive the reader.
    DocumentReader(const nlohmann::json& value, std::string path, std::vector<std::string>& faults, std::vector<std::string>& warnings);

    /// Each reads one field; an absent one is a fault only when required.
    void read(const char* field, std::string& target, bool required);
    void read(const char* field, bool& target);
    /// Bounds are inclusive.
    void read(const char* field, uint64_t& target, uint64_t low, uint64_t high, bool required);
    void read(const char* field, uint32_t& target, uint32_t low, uint32_t high, bool required);
    void read(const char* field, int& target, int low, int high, bool required);
    void read(const char* field, double& target, double low, double high);

    /// The elements of an array field as readers, each with its path; empty when absent (a fault when required).
    std::vector<DocumentReader> readArray(const char* field, bool required);
    /// The object in a field; a fault when it is absent or no object.
    DocumentReader readObject(const char* field);
    /// The strings of an array field.
    std::vector<std::string> readStrings(const char* field);

    bool hasField(const char* field) const;
    /// Adds a fault on a field, or on this object when `field` is empty.
    void addFault(std::string_view field, std::string_view reason);
    /// Reports fields that nothing read. Call once, after all reads.
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
