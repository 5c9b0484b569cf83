/// Reads the kinds of fields that several tables of a configuration share: the names of rows, and references to rows by name.
/// Faults are added to the reader, as by its own functions.
#pragma once

#include "DocumentReader.h"
#include "Inventory.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Adds a fault on the field if the name is too long, or has characters with a special meaning in headers, paths or metrics.
/// Not thread safe for the same reader.
void checkName(DocumentReader&, const char* field, std::string_view name);
/// Reads the field "name" of a row; a name that is in `seen` already is a fault. Not thread safe for the same reader.
void readName(DocumentReader&, std::set<std::string>& seen, std::string& name);

/// Reads a field that names a row of another table, and stores the row's index. Not thread safe for the same reader.
template <typename Row>
void readReference(DocumentReader& reader, const char* field, const std::vector<Row>& rows, RowIndex& target, bool required = true)
{
    std::string name;
    reader.read(field, name, required);
    if (name.empty())
        return;
    target = findRow(rows, name);
    if (target == noRow)
        reader.addFault(field, "names nothing that the inventory has");
}

/// Reads an array of names of rows of another table, and returns the rows' indexes. Not thread safe for the same reader.
template <typename Row>
std::vector<RowIndex> readRowReferences(DocumentReader& reader, const char* field, const std::vector<Row>& rows)
{
    std::vector<RowIndex> indices;
    for (const auto& name : reader.readStrings(field)) {
        RowIndex index = findRow(rows, name);
        if (index == noRow)
            reader.addFault(field, "names \"" + name + "\", which the inventory does not have");
        else
            indices.push_back(index);
    }
    return indices;
}

} // namespace bilberry
