#include "core/config/configuration_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "core/config/address.h"

namespace papayawheel {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kContractPrefix = "contracts/";
constexpr std::string_view kFleetKey = "fleet";
constexpr double kMaxRatePerSecond = 1e7;
constexpr double kMaxConcurrency = 1e6;
constexpr double kMaxPriority = 9;
constexpr double kMaxSlots = 1e5;
constexpr double kMaxDeadlineMs = 600'000;
constexpr double kMaxProbesPerSecond = 1e6;
constexpr std::size_t kMaxNameLength = 128;

/** The first error found in a document, thrown by the nested parse functions.
 */
class DocumentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Reads and validates the fields of one JSON object. Throws a DocumentError
 * that starts with the path of the field. */
class ObjectReader {
 public:
  ObjectReader(const Json& aValue, std::string aPath,
               std::initializer_list<std::string_view> aFields)
      : mValue(aValue), mPath(std::move(aPath)) {
    if (!mValue.is_object()) {
      throw DocumentError(fmt::format("{}: must be an object", mPath));
    }
    for (const auto& [name, value] : mValue.items()) {
      if (std::find(aFields.begin(), aFields.end(), name) == aFields.end()) {
        throw DocumentError(fmt::format("{}: unknown field", Path(name)));
      }
    }
  }

  [[nodiscard]] std::string Path(std::string_view aField) const {
    return fmt::format("{}.{}", mPath, aField);
  }

  [[nodiscard]] std::string Name(std::string_view aField) const {
    const Json& value = Field(aField);
    if (!value.is_string()) {
      throw DocumentError(fmt::format("{}: must be a string", Path(aField)));
    }
    auto name = value.get<std::string>();
    const bool isValid =
        !name.empty() && name.size() <= kMaxNameLength &&
        std::all_of(name.begin(), name.end(), [](unsigned char aByte) {
          return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_';
        });
    if (!isValid) {
      throw DocumentError(
          fmt::format("{}: \"{}\" must be 1 to {} letters, digits, '-' or '_'",
                      Path(aField), name, kMaxNameLength));
    }
    return name;
  }

  [[nodiscard]] std::string Address(std::string_view aField) const {
    const Json& value = Field(aField);
    if (!value.is_string() || !IsAddress(value.get<std::string>())) {
      throw DocumentError(fmt::format(
          "{}: {} must be an IP number and a port, as in \"10.0.0.7:8080\"",
          Path(aField), value.dump()));
    }
    return value.get<std::string>();
  }

  [[nodiscard]] double Number(std::string_view aField, double aMin,
                              double aMax) const {
    const Json& value = Field(aField);
    if (!value.is_number()) {
      throw DocumentError(fmt::format("{}: must be a number", Path(aField)));
    }
    const auto number = value.get<double>();
    if (!std::isfinite(number) || number < aMin || number > aMax) {
      throw DocumentError(fmt::format("{}: {} must be from {} to {}",
                                      Path(aField), value.dump(), aMin, aMax));
    }
    return number;
  }

  [[nodiscard]] std::uint32_t WholeNumber(std::string_view aField, double aMin,
                                          double aMax) const {
    const double number = Number(aField, aMin, aMax);
    if (number != std::floor(number)) {
      throw DocumentError(
          fmt::format("{}: {} must be a whole number", Path(aField), number));
    }
    return static_cast<std::uint32_t>(number);
  }

  [[nodiscard]] NodeState State(std::string_view aField) const {
    if (!mValue.contains(aField)) {
      return NodeState::Live;
    }
    const std::string name = Name(aField);
    if (name == "live") {
      return NodeState::Live;
    }
    if (name == "leaving") {
      return NodeState::Leaving;
    }
    throw DocumentError(fmt::format(
        "{}: \"{}\" must be \"live\" or \"leaving\"", Path(aField), name));
  }

  [[nodiscard]] const Json& Array(std::string_view aField) const {
    const Json& value = Field(aField);
    if (!value.is_array()) {
      throw DocumentError(fmt::format("{}: must be a list", Path(aField)));
    }
    return value;
  }

 private:
  [[nodiscard]] const Json& Field(std::string_view aField) const {
    const auto found = mValue.find(aField);
    if (found == mValue.end()) {
      throw DocumentError(fmt::format("{}: missing", Path(aField)));
    }
    return *found;
  }

  const Json& mValue;
  std::string mPath;
};

std::string ElementPath(const ObjectReader& aReader, std::string_view aField,
                        std::size_t aIndex) {
  return fmt::format("{}[{}]", aReader.Path(aField), aIndex);
}

template <typename Value>
void InsertUnique(std::map<std::string, Value>& aMap, Value aValue,
                  const std::string& aPath) {
  const std::string name = aValue.mName;
  if (!aMap.emplace(name, std::move(aValue)).second) {
    throw DocumentError(
        fmt::format("{}.name: \"{}\" is used twice", aPath, name));
  }
}

Contract ParseContract(const std::string& aKey, const Json& aValue) {
  const ObjectReader reader(aValue, aKey,
                            {"customer", "rate_per_second", "burst",
                             "concurrency", "priority", "services"});
  Contract contract;
  contract.mCustomer = reader.Name("customer");
  contract.mRatePerSecond =
      reader.Number("rate_per_second", 0.001, kMaxRatePerSecond);
  contract.mBurst = reader.WholeNumber("burst", 1, kMaxRatePerSecond);
  contract.mConcurrency = reader.WholeNumber("concurrency", 1, kMaxConcurrency);
  contract.mPriority = reader.WholeNumber("priority", 0, kMaxPriority);
  for (const Json& service : reader.Array("services")) {
    if (!service.is_string()) {
      throw DocumentError(fmt::format("{}: must be a list of service names",
                                      reader.Path("services")));
    }
    contract.mServices.push_back(service.get<std::string>());
  }
  return contract;
}

Service ParseService(const Json& aValue, const std::string& aPath) {
  const ObjectReader reader(
      aValue, aPath,
      {"name", "slots_per_endpoint", "longest_deadline_ms", "probes_per_second",
       "endpoints"});
  Service service;
  service.mName = reader.Name("name");
  service.mSlotsPerEndpoint =
      reader.WholeNumber("slots_per_endpoint", 1, kMaxSlots);
  service.mLongestDeadline = std::chrono::milliseconds(
      reader.WholeNumber("longest_deadline_ms", 1, kMaxDeadlineMs));
  service.mProbesPerSecond =
      reader.Number("probes_per_second", 0, kMaxProbesPerSecond);
  std::set<std::string> names;
  std::size_t index = 0;
  for (const Json& value : reader.Array("endpoints")) {
    const std::string path = ElementPath(reader, "endpoints", index++);
    const ObjectReader item(value, path,
                            {"name", "address", "data_centre", "state"});
    Endpoint endpoint{item.Name("name"), item.Address("address"),
                      item.Name("data_centre"), item.State("state")};
    if (!names.insert(endpoint.mName).second) {
      throw DocumentError(
          fmt::format("{}.name: \"{}\" is used twice", path, endpoint.mName));
    }
    service.mEndpoints.push_back(std::move(endpoint));
  }
  return service;
}

Host ParseHost(const Json& aValue, const std::string& aPath) {
  const ObjectReader reader(aValue, aPath,
                            {"name", "address", "data_centre", "state"});
  return Host{reader.Name("name"), reader.Address("address"),
              reader.Name("data_centre"), reader.State("state")};
}

void ParseFleet(const std::string& aKey, const Json& aValue,
                Configuration& aConfiguration) {
  const ObjectReader reader(aValue, aKey, {"services", "hosts"});
  std::size_t index = 0;
  for (const Json& value : reader.Array("services")) {
    const std::string path = ElementPath(reader, "services", index++);
    InsertUnique(aConfiguration.mServices, ParseService(value, path), path);
  }
  index = 0;
  std::set<std::string> addresses;
  for (const Json& value : reader.Array("hosts")) {
    const std::string path = ElementPath(reader, "hosts", index++);
    Host host = ParseHost(value, path);
    if (!addresses.insert(host.mAddress).second) {
      throw DocumentError(
          fmt::format("{}.address: \"{}\" is used twice", path, host.mAddress));
    }
    InsertUnique(aConfiguration.mHosts, std::move(host), path);
  }
}

Json ParseText(const std::string& aKey, const std::string& aText) {
  Json value = Json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    throw DocumentError(fmt::format("{}: not valid JSON", aKey));
  }
  return value;
}

void AddContract(const std::string& aKey, const std::string& aText,
                 Configuration& aConfiguration) {
  Contract contract = ParseContract(aKey, ParseText(aKey, aText));
  const std::string customer = contract.mCustomer;
  if (!aConfiguration.mContracts.emplace(customer, std::move(contract))
           .second) {
    throw DocumentError(fmt::format(
        "{}.customer: \"{}\" already has a contract", aKey, customer));
  }
}

void CheckServicesExist(const Configuration& aConfiguration) {
  for (const auto& [customer, contract] : aConfiguration.mContracts) {
    for (const std::string& service : contract.mServices) {
      if (!aConfiguration.mServices.contains(service)) {
        throw DocumentError(fmt::format(
            "contract of \"{}\".services: \"{}\" is not a service in "
            "document \"{}\"",
            customer, service, kFleetKey));
      }
    }
  }
}

Configuration ParseDocuments(const Snapshot& aSnapshot) {
  Configuration configuration;
  configuration.mRevision = aSnapshot.mRevision;
  if (!aSnapshot.mDocuments.contains(std::string(kFleetKey))) {
    throw DocumentError(fmt::format("{}: document is missing", kFleetKey));
  }
  for (const auto& [key, document] : aSnapshot.mDocuments) {
    const std::string& text = document.mText;
    if (key == kFleetKey) {
      ParseFleet(key, ParseText(key, text), configuration);
    } else if (key.starts_with(kContractPrefix)) {
      AddContract(key, text, configuration);
    } else {
      throw DocumentError(fmt::format("{}: unknown document", key));
    }
  }
  CheckServicesExist(configuration);
  return configuration;
}

}  // namespace

std::optional<Configuration> ConfigurationParser::Parse(
    const Snapshot& aSnapshot) {
  try {
    return ParseDocuments(aSnapshot);
  } catch (const DocumentError& error) {
    mLastError = error.what();
    return std::nullopt;
  }
}

}  // namespace papayawheel
