#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayawheel {

/** One published document. */
struct Document {
  /** The revision at which this text was published. */
  std::uint64_t mRevision = 0;
  /** JSON, as the operator published it. */
  std::string mText;

  bool operator==(const Document&) const = default;
};

/** The published documents at one revision, by key. The key of a contract is
 * "contracts/" and the customer's name; the key of the list of services,
 * endpoints and hosts is "fleet". */
struct Snapshot {
  std::uint64_t mRevision = 0;
  std::map<std::string, Document> mDocuments;
  /** Keys that were removed, with the revision of the removal. */
  std::map<std::string, std::uint64_t> mRemoved;

  bool operator==(const Snapshot&) const = default;
};

/** Writes what changed after the base revision as JSON text. The platform and
 * the hosts answer with this one format; base 0 gives everything. */
std::string WriteChanges(const Snapshot& aSnapshot, std::uint64_t aBase);

/** Adds what WriteChanges() wrote to a snapshot. Nothing when the text is
 * malformed or its base is above the snapshot's revision. */
std::optional<Snapshot> ApplyChanges(const Snapshot& aSnapshot,
                                     const std::string& aText);

}  // namespace papayawheel
