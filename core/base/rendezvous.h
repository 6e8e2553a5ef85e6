#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayawheel {

/** Hashes a text. The value is the same on every host and in every version. */
std::uint64_t StableHash(std::string_view aText);

/** Orders candidates by highest random weight for a subject. Every host that
 * knows the same candidates gets the same order, and removing one candidate
 * does not reorder the others. */
std::vector<std::string> RankByRendezvous(
    std::string_view aSubject, const std::vector<std::string>& aCandidates);

}  // namespace papayawheel
