#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayawheel {

/** A published document. */
struct Document {
  /** The revision at which mText was published. */
  std::uint64_t mRevision = 0;
  /** The JSON text as published by the operator. */
  std::string mText;

  bool operator==(const Document&) const = default;
};

/** The published documents at one revision, by key. A contract has the key
 * "contracts/" followed by the name of the customer; the list of services,
 * endpoints and hosts has the key "fleet". */
struct Snapshot {
  std::uint64_t mRevision = 0;
  std::map<std::string, Document> mDocuments;
  /** Removed keys, with the revision of the removal. */
  std::map<std::string, std::uint64_t> mRemoved;

  bool operator==(const Snapshot&) const = default;
};

/** Writes the changes after the base revision as JSON; base 0 gives all
 * documents. Both the platform and the hosts answer in this format. */
std::string WriteChanges(const Snapshot& aSnapshot, std::uint64_t aBase);

/** Applies the output of WriteChanges() to a snapshot. Returns nothing if the
 * text is malformed or its base is higher than the snapshot's revision. */
std::optional<Snapshot> ApplyChanges(const Snapshot& aSnapshot,
                                     const std::string& aText);

}  // namespace papayawheel
