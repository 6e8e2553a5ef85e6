#pragma once

#include <cstddef>
#include <optional>
#include <unordered_set>

#include "core/base/clock.h"

namespace papayawheel {

/** Bounds of a ByteAccount. */
struct ByteBounds {
  /** All holdings together, except the one that uses the reserve. */
  std::size_t mShared = 256U << 20U;
  /** One holding at a time may use a reserve of this size instead, so that one
   * large message is served on a machine with little memory. */
  std::size_t mReserve = 64U << 20U;
};

/** Counts the bytes that a process holds for others and bounds their sum. Not
 * thread-safe. Must outlive its holdings. */
class ByteAccount {
 public:
  /** The bytes that are held for one message. */
  class Holding {
   public:
    /** @param aOwner identifies who is to be closed for the holding to end. */
    Holding(ByteAccount& aAccount, std::size_t aOwner);
    ~Holding();
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    /** Adds bytes if there is room for them. Returns false otherwise. */
    [[nodiscard]] bool Add(std::size_t aBytes, TimePoint aNow);
    /** Adds bytes that are held already, also if there is no room. */
    void AddHeld(std::size_t aBytes, TimePoint aNow);
    /** Notes that the other side has sent or taken bytes. */
    void NoteTransfer(std::size_t aBytes, TimePoint aNow);
    /** Whether MostStalled() may return the owner. */
    void SetEvictable(bool aEvictable) { mEvictable = aEvictable; }
    [[nodiscard]] std::size_t Bytes() const { return mBytes; }

   private:
    friend class ByteAccount;
    void Count(std::size_t aBytes, TimePoint aNow);

    ByteAccount& mAccount;
    std::size_t mOwner;
    std::size_t mBytes = 0;
    /** Bytes transferred since mProgressAt. */
    std::size_t mTransferred = 0;
    TimePoint mProgressAt{};
    bool mEvictable = true;
    bool mUsesReserve = false;
  };

  explicit ByteAccount(const ByteBounds& aBounds) : mBounds(aBounds) {}
  ByteAccount(const ByteAccount&) = delete;
  ByteAccount& operator=(const ByteAccount&) = delete;
  ~ByteAccount() = default;

  /** Returns the owner of the evictable holding with the greatest product of
   * bytes and time without progress. Holdings that made progress within
   * aMinStall are left out. */
  [[nodiscard]] std::optional<std::size_t> MostStalled(
      TimePoint aNow, Duration aMinStall) const;

  /** Whether the holdings exceed the shared bound. */
  [[nodiscard]] bool IsOver() const { return mShared > mBounds.mShared; }
  /** All bytes held. */
  [[nodiscard]] std::size_t Held() const { return mShared + mInReserve; }
  [[nodiscard]] const ByteBounds& Bounds() const { return mBounds; }

 private:
  ByteBounds mBounds;
  std::size_t mShared = 0;
  std::size_t mInReserve = 0;
  bool mReserveTaken = false;
  /** Holdings above kFreeBytes. */
  std::unordered_set<Holding*> mLarge;
};

}  // namespace papayawheel
