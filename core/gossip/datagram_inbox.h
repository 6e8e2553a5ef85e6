#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

#include "core/base/clock.h"

namespace papayawheel {

/** Datagrams that were read from a socket and wait to be handled.
 *
 * A host that is short of processor time handles datagrams later than they
 * arrive. The inbox tells for each one the time after which it arrived, so that
 * the host does not take what it says for newer than it is. It keeps only the
 * latest ones, which bounds the time that a datagram waits. */
template <typename Datagram>
class DatagramInbox {
 public:
  /** Maximum number of datagrams that wait. */
  static constexpr std::size_t kCapacity = 96;

  struct Entry {
    Datagram mDatagram;
    /** A time before the datagram arrived. */
    TimePoint mArrivedAfter;
  };

  /** @param aNow the time at which the socket was opened. */
  explicit DatagramInbox(TimePoint aNow) : mEmptyAt(aNow) {}

  /** Adds a datagram that was read from the socket. Drops the oldest one if
   * too many wait. */
  void Add(Datagram aDatagram) {
    if (mEntries.size() == kCapacity) {
      mEntries.pop_front();
      ++mDropped;
    }
    mEntries.push_back(Entry{std::move(aDatagram), mEmptyAt});
  }

  /** Records that the socket held no datagram at a time: those that are added
   * later arrived after it. */
  void NoteSocketEmpty(TimePoint aNow) { mEmptyAt = aNow; }

  /** Removes and returns the oldest datagram; empty if there is none. */
  std::optional<Entry> Take() {
    if (mEntries.empty()) {
      return std::nullopt;
    }
    std::optional<Entry> entry(std::move(mEntries.front()));
    mEntries.pop_front();
    return entry;
  }

  [[nodiscard]] bool IsEmpty() const { return mEntries.empty(); }
  /** Number of datagrams that were dropped as too many waited. */
  [[nodiscard]] std::uint64_t Dropped() const { return mDropped; }

 private:
  std::deque<Entry> mEntries;
  TimePoint mEmptyAt;
  std::uint64_t mDropped = 0;
};

}  // namespace papayawheel
