#include <routing/routing.h>

#include <charconv>

namespace lacewing::routing
{
namespace
{

std::optional<std::uint64_t> parseNumber(std::string_view id) noexcept
{
    std::uint64_t number = 0;
    const auto *const end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

} // namespace

std::string_view toText(EventOrder order) noexcept
{
    switch (order) {
    case EventOrder::Repeated:
        return "event repeated";
    case EventOrder::Gap:
        return "events missing";
    case EventOrder::Unidentified:
        return "event not identified";
    case EventOrder::Next:
        break;
    }
    return "next event";
}

EventSequence::EventSequence(std::string_view id)
{
    record(id);
    steps_ = Steps::Unknown;
    beginRun();
}

EventOrder EventSequence::take(std::string_view id)
{
    const auto order = orderOf(id);
    if (order == EventOrder::Next) {
        isRunStart_ = false;
        isLastUnidentified_ = id.empty();
        if (!id.empty()) {
            record(id);
        }
    }
    return order;
}

EventOrder EventSequence::orderOf(std::string_view id) const
{
    if (id.empty()) {
        return isRunStart_ ? EventOrder::Unidentified : EventOrder::Next;
    }
    const auto number = parseNumber(id);
    if (number && lastNumber_) {
        return orderOfNumber(*number);
    }
    if (isRunStart_ && number.has_value() != lastNumber_.has_value()) {
        return EventOrder::Unidentified;
    }
    return isContinuation_ && textIds_.contains(hashBytes(id)) ? EventOrder::Repeated : EventOrder::Next;
}

EventOrder EventSequence::orderOfNumber(std::uint64_t number) const
{
    if (number <= *lastNumber_) {
        return EventOrder::Repeated;
    }
    // Within a run, ids only have to increase: an event may hold several tokens.
    const bool isGap = isRunStart_ && steps_ == Steps::One && number != *lastNumber_ + 1;
    return isGap ? EventOrder::Gap : EventOrder::Next;
}

void EventSequence::record(std::string_view id)
{
    const auto number = parseNumber(id);
    if (!number && !id.empty() && textIds_.size() <= maxTextIds) {
        textIds_.insert(hashBytes(id));
    }
    if (number && lastNumber_ && steps_ != Steps::Other) {
        steps_ = *number == *lastNumber_ + 1 ? Steps::One : Steps::Other;
    }
    lastId_ = id;
    lastNumber_ = number;
}

} // namespace lacewing::routing
