#pragma once

#include <optional>
#include <string>

#include "core/config/configuration.h"
#include "core/config/snapshot.h"

namespace papayawheel {

/** Parses and validates the documents of a snapshot. The entry program and the
 * check program share this class, so that both accept the same documents. */
class ConfigurationParser {
 public:
  /** Returns the configuration, or nothing if any document is invalid; then
   * LastError() names the document, the field and the error. */
  std::optional<Configuration> Parse(const Snapshot& aSnapshot);

  [[nodiscard]] const std::string& LastError() const { return mLastError; }

 private:
  std::string mLastError;
};

}  // namespace papayawheel
