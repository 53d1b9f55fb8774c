#include "incoming_link.h"

namespace lacewing::peer
{

net::WriteOutcome PeerCallWriter::Exchange::write(std::string_view message)
{
    const auto link = link_.lock();
    if (!isOpen || !link) {
        return net::WriteOutcome::Closed;
    }
    const auto &options = link->context().options;
    if (message.size() > options.maxMessageBytes()) {
        finish(FrameType::Failure, failurePayload({ ErrorKind::TooLarge, "piece of the answer over the bound" }));
        return net::WriteOutcome::Closed;
    }
    if (link->link().session().pendingBytes(stream_) >= options.maxPendingBytes()) {
        link->awaitDrain(shared_from_this());
        return net::WriteOutcome::Full;
    }
    append(*link, FrameType::Data, message);
    return net::WriteOutcome::Accepted;
}

void PeerCallWriter::Exchange::append(IncomingLink &link, FrameType type, std::string_view payload)
{
    auto &session = link.link().session();
    if (!hasResponded_) {
        hasResponded_ = true;
        net::Headers headers { { ":status", "200" } };
        const auto &identity = link.context().identityHeaders;
        headers.insert(headers.end(), identity.begin(), identity.end());
        session.respond(stream_, headers);
    }
    session.append(stream_, toBytes(type, payload));
    link.link().scheduleFlush();
}

void PeerCallWriter::Exchange::finish(FrameType type, std::string_view payload)
{
    const auto link = link_.lock();
    if (!isOpen || !link) {
        return;
    }
    append(*link, type, payload);
    link->link().session().finish(stream_);
    isOpen = false;
}

void PeerCallWriter::Exchange::lost()
{
    if (!isOpen) {
        return;
    }
    isOpen = false;
    if (const auto callback = std::exchange(onClosed, {})) {
        callback();
    }
}

bool PeerCallWriter::Exchange::drained()
{
    const auto link = link_.lock();
    if (!isOpen || !link) {
        return true;
    }
    if (link->link().session().pendingBytes(stream_) > link->context().options.maxPendingBytes() / 2) {
        return false;
    }
    if (onDrained) {
        const auto callback = onDrained;
        callback();
    }
    return true;
}

PeerCallWriter::PeerCallWriter(std::shared_ptr<Exchange> exchange)
    : exchange_(std::move(exchange))
{
}

net::WriteOutcome PeerCallWriter::write(std::string_view message)
{
    return exchange_ ? exchange_->write(message) : net::WriteOutcome::Closed;
}

void PeerCallWriter::end()
{
    if (exchange_) {
        exchange_->finish(FrameType::End, {});
    }
}

void PeerCallWriter::fail(const Error &error)
{
    if (exchange_) {
        exchange_->finish(FrameType::Failure, failurePayload(error));
    }
}

void PeerCallWriter::onClosed(std::function<void()> callback)
{
    if (exchange_) {
        exchange_->onClosed = std::move(callback);
    }
}

void PeerCallWriter::onDrained(std::function<void()> callback)
{
    if (exchange_) {
        exchange_->onDrained = std::move(callback);
    }
}

bool PeerCallWriter::isOpen() const noexcept
{
    return exchange_ && exchange_->isOpen;
}

} // namespace lacewing::peer
