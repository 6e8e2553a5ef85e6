#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/config/config_store.h"
#include "core/config/configuration_parser.h"
#include "tests/fake_clock.h"

namespace papayawheel {
namespace {

const std::string kFleet = R"({
  "services": [{"name": "orders", "slots_per_endpoint": 4,
                "longest_deadline_ms": 1000, "probes_per_second": 1,
                "endpoints": [{"name": "e1", "address": "10.0.0.1:80",
                               "data_centre": "dc1", "state": "leaving"}]}],
  "hosts": [{"name": "h1", "address": "10.0.1.1:80", "data_centre": "dc1"}]
})";

const std::string kContract = R"({
  "customer": "huts", "rate_per_second": 5, "burst": 2, "concurrency": 3,
  "priority": 9, "services": ["orders"]
})";

Snapshot SnapshotOf(const std::string& aFleet, const std::string& aContract,
                    std::uint64_t aRevision = 1) {
  Snapshot snapshot;
  snapshot.mRevision = aRevision;
  snapshot.mDocuments["fleet"] = Document{aRevision, aFleet};
  snapshot.mDocuments["contracts/huts"] = Document{aRevision, aContract};
  return snapshot;
}

std::string Replace(std::string aText, const std::string& aOld,
                    const std::string& aNew) {
  const std::size_t place = aText.find(aOld);
  REQUIRE(place != std::string::npos);
  return aText.replace(place, aOld.size(), aNew);
}

TEST_CASE("valid documents give the configuration they state") {
  ConfigurationParser parser;
  const auto configuration = parser.Parse(SnapshotOf(kFleet, kContract));
  REQUIRE(configuration);
  const Contract& contract = configuration->mContracts.at("huts");
  CHECK(contract.mRatePerSecond == 5);
  CHECK(contract.mBurst == 2);
  CHECK(contract.mConcurrency == 3);
  CHECK(contract.mPriority == 9);
  const Service& service = configuration->mServices.at("orders");
  CHECK(service.mSlotsPerEndpoint == 4);
  CHECK(service.mLongestDeadline == std::chrono::milliseconds(1000));
  CHECK(service.mEndpoints.at(0).mState == NodeState::Leaving);
  CHECK(configuration->mHosts.at("h1").mState == NodeState::Live);
}

struct BadDocument {
  const char* mWhat;
  bool mInContract;
  std::string mOld;
  std::string mNew;
  std::string mError;
};

TEST_CASE("a faulty document is refused with the document and the field") {
  const std::vector<BadDocument> table = {
      {"not JSON", true, "{", "", "contracts/huts: not valid JSON"},
      {"unknown field", true, "\"burst\": 2", "\"burst\": 2, \"brust\": 2",
       "contracts/huts.brust: unknown field"},
      {"missing field", true, "\"burst\": 2,", "",
       "contracts/huts.burst: missing"},
      {"wrong type", true, "\"burst\": 2", "\"burst\": \"2\"",
       "contracts/huts.burst: must be a number"},
      {"negative number", true, "\"rate_per_second\": 5",
       "\"rate_per_second\": -5",
       "contracts/huts.rate_per_second: -5 must be from 0.001 to 10000000"},
      {"absurd number", true, "\"priority\": 9", "\"priority\": 99",
       "contracts/huts.priority: 99 must be from 0 to 9"},
      {"fraction", true, "\"concurrency\": 3", "\"concurrency\": 3.5",
       "contracts/huts.concurrency: 3.5 must be a whole number"},
      {"unknown service", true, "[\"orders\"]", "[\"oders\"]",
       "contract of \"huts\".services: \"oders\" is not a service in document "
       "\"fleet\""},
      {"bad name", true, "\"huts\"", "\"h uts\"",
       "contracts/huts.customer: \"h uts\" must be 1 to 128 letters, digits, "
       "'-' or '_'"},
      {"bad address", false, "10.0.0.1:80", "server:80",
       "fleet.services[0].endpoints[0].address: \"server:80\" must be an IP "
       "number and a port, as in \"10.0.0.7:8080\""},
      {"bad state", false, "\"leaving\"", "\"gone\"",
       "fleet.services[0].endpoints[0].state: \"gone\" must be \"live\" or "
       "\"leaving\""},
      {"two hosts of one name", false, "\"hosts\": [",
       "\"hosts\": [{\"name\": \"h1\", \"address\": \"10.0.1.2:80\", "
       "\"data_centre\": \"dc1\"},",
       "fleet.hosts[1].name: \"h1\" is used twice"},
      {"two hosts at one address", false, "\"hosts\": [",
       "\"hosts\": [{\"name\": \"h2\", \"address\": \"10.0.1.1:80\", "
       "\"data_centre\": \"dc1\"},",
       "fleet.hosts[1].address: \"10.0.1.1:80\" is used twice"},
      {"not a list", false, "\"hosts\": [", "\"hosts\": 1, \"host\": [",
       "fleet.host: unknown field"},
  };
  for (const BadDocument& row : table) {
    CAPTURE(row.mWhat);
    const std::string fleet =
        row.mInContract ? kFleet : Replace(kFleet, row.mOld, row.mNew);
    const std::string contract =
        row.mInContract ? Replace(kContract, row.mOld, row.mNew) : kContract;
    ConfigurationParser parser;
    CHECK_FALSE(parser.Parse(SnapshotOf(fleet, contract)));
    CHECK(parser.LastError() == row.mError);
  }
}

TEST_CASE("two documents for one customer and stray documents are refused") {
  Snapshot snapshot = SnapshotOf(kFleet, kContract);
  snapshot.mDocuments["contracts/huts-again"] = Document{1, kContract};
  ConfigurationParser parser;
  CHECK_FALSE(parser.Parse(snapshot));
  CHECK(parser.LastError() ==
        "contracts/huts-again.customer: \"huts\" already has a contract");
  snapshot = SnapshotOf(kFleet, kContract);
  snapshot.mDocuments["notes"] = Document{1, "{}"};
  CHECK_FALSE(parser.Parse(snapshot));
  CHECK(parser.LastError() == "notes: unknown document");
  snapshot.mDocuments.clear();
  CHECK_FALSE(parser.Parse(snapshot));
  CHECK(parser.LastError() == "fleet: document is missing");
}

TEST_CASE("a refused revision leaves the one in force and is audited") {
  FakeClock clock;
  AuditTrail audit(clock, 10);
  ConfigStore store(clock, audit);
  CHECK(store.Offer(SnapshotOf(kFleet, kContract, 1), "platform") ==
        OfferResult::Applied);
  const std::string bad = Replace(kContract, "\"burst\": 2", "\"burst\": 0");
  CHECK(store.Offer(SnapshotOf(kFleet, bad, 2), "platform") ==
        OfferResult::Refused);
  CHECK(store.Revision() == 1);
  CHECK(store.RefusedRevision() == 2);
  CHECK(audit.After(0).back().mCause ==
        "refused from platform: contracts/huts.burst: 0 must be from 1 to "
        "10000000");
  const std::string next = Replace(kContract, "\"burst\": 2", "\"burst\": 7");
  CHECK(store.Offer(SnapshotOf(kFleet, next, 3), "host \"h2\"") ==
        OfferResult::Applied);
  CHECK(store.Offer(SnapshotOf(kFleet, kContract, 1), "platform") ==
        OfferResult::NotNewer);
  CHECK(store.Revision() == 3);
}

TEST_CASE("changes applied to an older snapshot give the newer one") {
  Snapshot older = SnapshotOf(kFleet, kContract, 4);
  Snapshot newer = older;
  newer.mRevision = 6;
  newer.mDocuments["contracts/guests"] = Document{5, "{}"};
  newer.mDocuments.erase("contracts/huts");
  newer.mRemoved["contracts/huts"] = 6;
  CHECK(ApplyChanges(older, WriteChanges(newer, 4)) == newer);
  CHECK(ApplyChanges(Snapshot{}, WriteChanges(newer, 0)) == newer);
  CHECK_FALSE(ApplyChanges(Snapshot{}, WriteChanges(newer, 4)));
  for (const char* text :
       {"", "[]", "{}", R"({"base":1,"revision":-1})",
        R"({"base":0,"revision":1,"documents":{"a":1},"removed":{}})"}) {
    CAPTURE(text);
    CHECK_FALSE(ApplyChanges(older, text));
  }
}

}  // namespace
}  // namespace papayawheel
