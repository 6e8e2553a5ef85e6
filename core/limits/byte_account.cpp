#include "core/limits/byte_account.h"

#include <chrono>

namespace papayawheel {
namespace {

/** A holding up to this size is never refused, so that ordinary requests are
 * served while large ones use up the account. */
constexpr std::size_t kFreeBytes = 8U << 10U;

/** A transfer of fewer bytes is no progress. Otherwise a peer that sends single
 * bytes would keep its holding. */
constexpr std::size_t kProgressBytes = 64U << 10U;

}  // namespace

ByteAccount::Holding::Holding(ByteAccount& aAccount, std::size_t aOwner)
    : mAccount(aAccount), mOwner(aOwner) {}

ByteAccount::Holding::~Holding() {
  if (mUsesReserve) {
    mAccount.mInReserve -= mBytes;
    mAccount.mReserveTaken = false;
  } else {
    mAccount.mShared -= mBytes;
  }
  if (mBytes > kFreeBytes) {
    mAccount.mLarge.erase(this);
  }
}

bool ByteAccount::Holding::Add(std::size_t aBytes, TimePoint aNow) {
  const ByteBounds& bounds = mAccount.mBounds;
  const std::size_t bytes = mBytes + aBytes;
  if (mUsesReserve) {
    if (bytes > bounds.mReserve) {
      return false;
    }
    Count(aBytes, aNow);
    return true;
  }
  if (bytes <= kFreeBytes || mAccount.mShared + aBytes <= bounds.mShared) {
    Count(aBytes, aNow);
    return true;
  }
  if (mAccount.mReserveTaken || bytes > bounds.mReserve) {
    return false;
  }
  mUsesReserve = true;
  mAccount.mReserveTaken = true;
  mAccount.mShared -= mBytes;
  mAccount.mInReserve += mBytes;
  Count(aBytes, aNow);
  return true;
}

void ByteAccount::Holding::AddHeld(std::size_t aBytes, TimePoint aNow) {
  if (!Add(aBytes, aNow)) {
    Count(aBytes, aNow);
  }
}

void ByteAccount::Holding::NoteTransfer(std::size_t aBytes, TimePoint aNow) {
  mTransferred += aBytes;
  if (mTransferred >= kProgressBytes) {
    mTransferred = 0;
    mProgressAt = aNow;
  }
}

void ByteAccount::Holding::Count(std::size_t aBytes, TimePoint aNow) {
  if (mBytes == 0) {
    mProgressAt = aNow;
  }
  if (mBytes <= kFreeBytes && mBytes + aBytes > kFreeBytes) {
    mAccount.mLarge.insert(this);
  }
  mBytes += aBytes;
  (mUsesReserve ? mAccount.mInReserve : mAccount.mShared) += aBytes;
}

std::optional<std::size_t> ByteAccount::MostStalled(TimePoint aNow,
                                                    Duration aMinStall) const {
  std::optional<std::size_t> owner;
  double most = -1;
  for (const Holding* const holding : mLarge) {
    const auto stall = aNow - holding->mProgressAt;
    if (!holding->mEvictable || stall < aMinStall) {
      continue;
    }
    const double weight = static_cast<double>(holding->mBytes) *
                          std::chrono::duration<double>(stall).count();
    if (weight > most) {
      most = weight;
      owner = holding->mOwner;
    }
  }
  return owner;
}

}  // namespace papayawheel
