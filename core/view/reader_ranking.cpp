#include "core/view/reader_ranking.h"

#include <algorithm>
#include <map>
#include <set>

#include "core/base/rendezvous.h"

namespace papayawheel {
namespace {

/** Subject of the rendezvous hash. All hosts must use the same one. */
constexpr std::string_view kSubject = "readers";

bool IsEligible(const MemberRecord& aMember) {
  return aMember.mState != MemberState::Draining && !aMember.mStoreFailing;
}

}  // namespace

std::vector<std::string> ChooseReaders(
    const MemberRecord& aSelf, const std::vector<MemberRecord>& aOthers) {
  std::map<std::string, std::string> centreOf;
  std::vector<std::string> candidates;
  for (const MemberRecord& other : aOthers) {
    if (IsEligible(other)) {
      candidates.push_back(other.mName);
      centreOf[other.mName] = other.mDataCentre;
    }
  }
  if (IsEligible(aSelf) || candidates.empty()) {
    candidates.push_back(aSelf.mName);
    centreOf[aSelf.mName] = aSelf.mDataCentre;
  }
  const auto ranked = RankByRendezvous(kSubject, candidates);
  std::vector<std::string> chosen;
  std::set<std::string> centres;
  for (const bool needsNewCentre : {true, false}) {
    for (const std::string& name : ranked) {
      const bool taken =
          std::find(chosen.begin(), chosen.end(), name) != chosen.end();
      if (chosen.size() < kReaderCount && !taken &&
          (!needsNewCentre || centres.insert(centreOf[name]).second)) {
        chosen.push_back(name);
      }
    }
  }
  return chosen;
}

ReaderRole RoleOf(const MemberRecord& aSelf,
                  const std::vector<std::string>& aReaders) {
  const auto found = std::find(aReaders.begin(), aReaders.end(), aSelf.mName);
  if (aSelf.mState == MemberState::Draining || found == aReaders.end()) {
    return ReaderRole::None;
  }
  return found == aReaders.begin() ? ReaderRole::Confirmer
                                   : ReaderRole::Watcher;
}

}  // namespace papayawheel
