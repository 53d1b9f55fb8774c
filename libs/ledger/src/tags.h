#pragma once

#include <ledger/ledger.h>

namespace lacewing::ledger
{

/** Hands out the request tags of one part. */
class TagSource
{
public:
    explicit TagSource(Part part)
        : next_(std::uint64_t(part) << tagPartShift)
    {
    }
    log::RequestTag next() noexcept
    {
        return log::RequestTag(++next_);
    }

private:
    std::uint64_t next_;
};

/** The tag of an answer. */
inline log::RequestTag tagOf(const log::Answer &answer) noexcept
{
    return std::visit([](const auto &one) { return one.tag; }, answer);
}

/** The earlier of two times, either of which may be absent. */
inline std::optional<Time> earliest(std::optional<Time> a, std::optional<Time> b) noexcept
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

/** The later of two times. */
inline Time latest(Time a, Time b) noexcept
{
    return std::max(a, b);
}

} // namespace lacewing::ledger
