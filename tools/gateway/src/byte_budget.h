#pragma once

#include <algorithm>
#include <cstddef>

namespace lacewing::gateway
{

/** Bounds the memory that buffers of several owners take together. */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit) noexcept
        : limit_(limit)
    {
    }

    /** Takes bytes out of the budget. @return false if fewer are left; none are taken then */
    bool tryAcquire(std::size_t bytes) noexcept
    {
        if (bytes > limit_ - used_) {
            return false;
        }
        used_ += bytes;
        return true;
    }
    /** Returns bytes that were acquired. */
    void release(std::size_t bytes) noexcept
    {
        used_ -= std::min(bytes, used_);
    }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace lacewing::gateway
