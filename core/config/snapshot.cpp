#include "core/config/snapshot.h"

#include <nlohmann/json.hpp>

namespace papayawheel {
namespace {

using Json = nlohmann::json;

bool IsUnsigned(const Json& aObject, const char* aField) {
  return aObject.contains(aField) && aObject[aField].is_number_unsigned();
}

bool IsObject(const Json& aObject, const char* aField) {
  return aObject.contains(aField) && aObject[aField].is_object();
}

bool IsChanges(const Json& aValue) {
  return aValue.is_object() && IsUnsigned(aValue, "base") &&
         IsUnsigned(aValue, "revision") && IsObject(aValue, "documents") &&
         IsObject(aValue, "removed");
}

bool IsDocument(const Json& aValue) {
  return aValue.is_object() && IsUnsigned(aValue, "revision") &&
         aValue.contains("text") && aValue["text"].is_string();
}

}  // namespace

std::string WriteChanges(const Snapshot& aSnapshot, std::uint64_t aBase) {
  Json documents = Json::object();
  for (const auto& [key, document] : aSnapshot.mDocuments) {
    if (document.mRevision > aBase) {
      documents[key] = {{"revision", document.mRevision},
                        {"text", document.mText}};
    }
  }
  Json removed = Json::object();
  for (const auto& [key, revision] : aSnapshot.mRemoved) {
    if (revision > aBase) {
      removed[key] = revision;
    }
  }
  const Json changes{{"base", aBase},
                     {"revision", aSnapshot.mRevision},
                     {"documents", documents},
                     {"removed", removed}};
  return changes.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Snapshot> ApplyChanges(const Snapshot& aSnapshot,
                                     const std::string& aText) {
  const Json value = Json::parse(aText, nullptr, false);
  if (!IsChanges(value)) {
    return std::nullopt;
  }
  const auto base = value["base"].get<std::uint64_t>();
  if (base > aSnapshot.mRevision) {
    return std::nullopt;
  }
  Snapshot next = base == 0 ? Snapshot{} : aSnapshot;
  next.mRevision = value["revision"].get<std::uint64_t>();
  for (const auto& [key, document] : value["documents"].items()) {
    if (!IsDocument(document)) {
      return std::nullopt;
    }
    next.mDocuments[key] = Document{document["revision"].get<std::uint64_t>(),
                                    document["text"].get<std::string>()};
    next.mRemoved.erase(key);
  }
  for (const auto& [key, revision] : value["removed"].items()) {
    if (!revision.is_number_unsigned()) {
      return std::nullopt;
    }
    next.mDocuments.erase(key);
    next.mRemoved[key] = revision.get<std::uint64_t>();
  }
  return next;
}

}  // namespace papayawheel
