#pragma once

#include <optional>
#include <string>

#include "core/config/configuration.h"
#include "core/config/snapshot.h"

namespace papayawheel {

/** Reads and checks the documents of a snapshot. The entry program and the
 * check program use this same class, so what passes one passes the other. */
class ConfigurationParser {
 public:
  /** The whole configuration, or nothing when any document is at fault; then
   * LastError() names the document, the field and the fault. */
  std::optional<Configuration> Parse(const Snapshot& aSnapshot);

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  std::string mLastError;
};

}  // namespace papayawheel
