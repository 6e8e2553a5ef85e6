#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayawheel {

/** Hashes a string. The value must be the same on every host and in every
 * version, because hosts of different versions compare hashes. */
std::uint64_t StableHash(std::string_view aText);

/** Ranks candidates for a subject by rendezvous hashing (highest random
 * weight). Hosts that know the same candidates get the same order, and the
 * removal of one candidate does not change the order of the others. */
std::vector<std::string> RankByRendezvous(
    std::string_view aSubject, const std::vector<std::string>& aCandidates);

/** Returns how many candidates go before a given one in the order of
 * RankByRendezvous().
 * @param aOne in aCandidates or not. */
std::size_t RendezvousRank(std::string_view aSubject, std::string_view aOne,
                           const std::vector<std::string>& aCandidates);

}  // namespace papayawheel
