#include "stream_reader.h"

namespace lacewing::ledger
{

std::optional<log::Request> StreamReader::poll(TagSource &tags, Time now)
{
    if (inFlight_ || now < notBefore_) {
        return std::nullopt;
    }
    // The first reads must not be held: whoever waits for the end of the stream would wait with them.
    const Duration wait = isAtEnd_ ? times_.wait : Duration::zero();
    inFlight_ = InFlight { tags.next(), now, now + wait + times_.timeout };
    return log::Read { inFlight_->tag, stream_, position_, wait };
}

bool StreamReader::accept(const log::ReadAnswer &answer, Time now)
{
    if (!inFlight_ || inFlight_->tag != answer.tag) {
        return false;
    }
    lastReadSent_ = inFlight_->sent;
    inFlight_.reset();
    if (!answer.ok) {
        fail(now);
        return true;
    }
    position_ = std::max(position_, log::nextOffset(answer));
    isAtEnd_ = position_ >= answer.next;
    notBefore_ = now;
    return true;
}

bool StreamReader::expire(Time now)
{
    if (!inFlight_ || now < inFlight_->expiry) {
        return false;
    }
    inFlight_.reset();
    fail(now);
    return true;
}

void StreamReader::fail(Time now)
{
    isAtEnd_ = false;
    notBefore_ = now + times_.retryDelay;
}

} // namespace lacewing::ledger
