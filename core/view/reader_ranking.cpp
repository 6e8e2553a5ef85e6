#include "core/view/reader_ranking.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Subject of the rendezvous hash. All hosts must use the same one. */
constexpr std::string_view kSubject = "readers";

/** Position of a host among all that may read the store; lower comes first. */
using Preference = std::pair<bool, int>;

Preference PreferenceOf(const MemberRecord& aHost) {
  return {aHost.mStoreFailing, -ProcessorClass(aHost.mCapacity)};
}

/** Moves the first hosts of different data centres to the front, up to the
 * number of readers. Only hosts whose reads work are moved. */
void SpreadReaders(std::vector<const MemberRecord*>& aRanked) {
  std::set<std::string> centres;
  const auto takesPlace = [&centres](const MemberRecord* aHost) {
    return centres.size() < kReaderCount && !aHost->mStoreFailing &&
           centres.insert(aHost->mDataCentre).second;
  };
  std::stable_partition(aRanked.begin(), aRanked.end(), takesPlace);
}

}  // namespace

std::vector<std::string> RankReaders(const MemberRecord& aSelf,
                                     const std::vector<MemberRecord>& aOthers) {
  std::map<std::string, const MemberRecord*> hosts;
  std::vector<std::string> names;
  const auto add = [&](const MemberRecord& aHost) {
    hosts[aHost.mName] = &aHost;
    names.push_back(aHost.mName);
  };
  for (const MemberRecord& other : aOthers) {
    if (other.mState != MemberState::Draining) {
      add(other);
    }
  }
  if (aSelf.mState != MemberState::Draining || names.empty()) {
    add(aSelf);
  }
  std::vector<const MemberRecord*> ranked;
  ranked.reserve(names.size());
  for (const std::string& name : RankByRendezvous(kSubject, names)) {
    ranked.push_back(hosts.at(name));
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const MemberRecord* aLeft, const MemberRecord* aRight) {
                     return PreferenceOf(*aLeft) < PreferenceOf(*aRight);
                   });
  SpreadReaders(ranked);
  std::vector<std::string> result;
  result.reserve(ranked.size());
  for (const MemberRecord* host : ranked) {
    result.push_back(host->mName);
  }
  return result;
}

std::vector<std::string> ReadersOf(const std::vector<std::string>& aRanked) {
  const std::size_t count = std::min(aRanked.size(), kReaderCount);
  return {aRanked.begin(),
          aRanked.begin() + static_cast<std::ptrdiff_t>(count)};
}

ReaderDuty DutyOf(const MemberRecord& aSelf,
                  const std::vector<std::string>& aRanked) {
  const auto found = std::find(aRanked.begin(), aRanked.end(), aSelf.mName);
  const auto place =
      static_cast<std::size_t>(std::distance(aRanked.begin(), found));
  if (aSelf.mState == MemberState::Draining || place >= kReaderCount) {
    return {ReaderRole::None, std::max(place, kReaderCount) - kReaderCount};
  }
  return {place == 0 ? ReaderRole::Confirmer : ReaderRole::Watcher, 0};
}

}  // namespace papayawheel
