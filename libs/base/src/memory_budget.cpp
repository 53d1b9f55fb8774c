#include <base/base.h>

#include <algorithm>

namespace lacewing
{
namespace
{

/** Share of a budget that is kept for small buffers. */
constexpr std::size_t smallShareDivisor = 8;

} // namespace

MemoryBudget::MemoryBudget(std::size_t limit) noexcept
    : limit_(limit)
    , largeLimit_(limit - limit / smallShareDivisor)
{
}

bool MemoryBudget::tryGrow(std::size_t from, std::size_t to) noexcept
{
    const std::size_t limit = to <= smallBytes ? limit_ : largeLimit_;
    const std::size_t added = to - std::min(from, to);
    if (added > limit - std::min(used_, limit)) {
        return false;
    }
    used_ += added;
    return true;
}

void MemoryBudget::release(std::size_t bytes) noexcept
{
    used_ -= std::min(bytes, used_);
}

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget> budget) noexcept
    : budget_(std::move(budget))
{
}

MemoryReservation::~MemoryReservation()
{
    release();
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : budget_(std::move(other.budget_))
    , bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool MemoryReservation::tryGrowTo(std::size_t bytes) noexcept
{
    if (!budget_ || bytes <= bytes_) {
        return true;
    }
    if (!budget_->tryGrow(bytes_, bytes)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void MemoryReservation::release() noexcept
{
    if (budget_) {
        budget_->release(std::exchange(bytes_, 0));
    }
}

} // namespace lacewing
