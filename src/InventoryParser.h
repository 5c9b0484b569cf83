/// Parses the inventory of a configuration document.
#pragma once

namespace bilberry {

class DocumentReader;
struct Inventory;

/// Fills the tables from the document's inventory; faults are added to the reader. Precondition: the tables are empty. Not
/// thread safe for the same reader or tables.
void parseInventory(DocumentReader&, Inventory&);

} // namespace bilberry
