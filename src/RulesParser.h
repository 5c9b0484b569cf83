/// Parses the rules of a configuration document.
#pragma once

namespace bilberry {

class DocumentReader;
struct Inventory;
struct Rules;

/// Fills the tables from the document's rules, which refer to the rows of the inventory; faults are added to the reader.
/// Precondition: the tables are empty. Not thread safe for the same reader or tables.
void parseRules(DocumentReader&, const Inventory&, Rules&);

} // namespace bilberry
