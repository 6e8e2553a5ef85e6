#include "core/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace papayawheel {

std::uint64_t StableHash(std::string_view aText) {
  return XXH64(aText.data(), aText.size(), 0);
}

std::vector<std::string> RankByRendezvous(
    std::string_view aSubject, const std::vector<std::string>& aCandidates) {
  std::vector<std::pair<std::uint64_t, const std::string*>> weighted;
  weighted.reserve(aCandidates.size());
  const std::uint64_t seed = StableHash(aSubject);
  for (const std::string& candidate : aCandidates) {
    weighted.emplace_back(XXH64(candidate.data(), candidate.size(), seed),
                          &candidate);
  }
  std::sort(weighted.begin(), weighted.end(),
            [](const auto& aLeft, const auto& aRight) {
              if (aLeft.first != aRight.first) {
                return aLeft.first > aRight.first;
              }
              return *aLeft.second < *aRight.second;
            });
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (const auto& [weight, candidate] : weighted) {
    ranked.push_back(*candidate);
  }
  return ranked;
}

std::size_t RendezvousRank(std::string_view aSubject, std::string_view aOne,
                           const std::vector<std::string>& aCandidates) {
  const std::uint64_t seed = StableHash(aSubject);
  const std::uint64_t weight = XXH64(aOne.data(), aOne.size(), seed);
  return static_cast<std::size_t>(std::count_if(
      aCandidates.begin(), aCandidates.end(),
      [&](const std::string& aCandidate) {
        const std::uint64_t other =
            XXH64(aCandidate.data(), aCandidate.size(), seed);
        return other > weight || (other == weight && aCandidate < aOne);
      }));
}

}  // namespace papayawheel
