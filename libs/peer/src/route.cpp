#include "route.h"

#include <algorithm>

namespace lacewing::peer
{

namespace
{

/** After a failed set-up, messages are dropped for this long rather than cause another. */
constexpr Duration messageBackoff = std::chrono::milliseconds(200);

} // namespace

Route::Route(RouteContext context, std::string address, Tcp::endpoint endpoint)
    : context_(std::move(context))
    , address_(std::move(address))
    , endpoint_(std::move(endpoint))
{
}

Route::~Route() = default;

Time Route::now() const
{
    return context_.link.loop.clock().now();
}

void Route::send(std::string message)
{
    auto &counters = context_.link.counters;
    if (now() < noMessagesBefore_) {
        ++counters.messagesDropped;
        return;
    }
    messages_.push_back(std::move(message));
    if (messages_.size() > context_.link.options.maxQueuedMessages()) {
        messages_.pop_front();
        ++counters.messagesDropped;
    }
    dispatch();
}

void Route::add(const CallPtr &call)
{
    if (waiting_.size() >= context_.link.options.maxQueuedCalls()) {
        context_.calls.failLater(call, { ErrorKind::TooMany, "too many calls wait for this address" }, false);
        return;
    }
    waiting_.push_back(call);
    call->release = [this, call = call.get()] {
        waiting_.remove_if([call](const CallPtr &held) { return held.get() == call; });
    };
    dispatch();
}

void Route::dispatch()
{
    if (messages_.empty() && waiting_.empty()) {
        return;
    }
    if (!current_) {
        connect();
        return;
    }
    Link &link = current_->link();
    if (!link.isReady()) {
        return;
    }
    if (link.isStale()) {
        link.probe();
    }
    if (link.isProbing()) {
        return;
    }
    sendMessages();
    startCalls();
}

void Route::sendMessages()
{
    while (!messages_.empty() && current_->hasRoomForMessage()) {
        current_->sendMessage(messages_.front());
        messages_.pop_front();
    }
}

void Route::startCalls()
{
    while (!waiting_.empty() && current_->hasRoomForCall()) {
        const auto call = waiting_.front();
        waiting_.pop_front();
        current_->start(call);
    }
}

void Route::connect()
{
    if (isClosing_) {
        return;
    }
    current_ = std::make_shared<OutgoingLink>(*this, context_, address_);
    current_->connect(endpoint_);
}

void Route::linkIsReady()
{
    dispatch();
}

void Route::linkTakesNoMore(OutgoingLink &link)
{
    if (current_.get() == &link) {
        finishing_.push_back(std::exchange(current_, nullptr));
        link.finish();
        dispatch();
    }
}

void Route::linkIsGone(OutgoingLink &link, const Error &error, bool wasReady)
{
    std::erase_if(finishing_, [&](const auto &held) { return held.get() == &link; });
    if (current_.get() == &link) {
        current_.reset();
        if (wasReady) {
            dispatch();
        } else {
            failWaiting(error);
        }
    }
    context_.linkGone();
}

void Route::failWaiting(const Error &error)
{
    context_.link.counters.messagesDropped += messages_.size();
    messages_.clear();
    noMessagesBefore_ = now() + messageBackoff;
    const auto calls = std::exchange(waiting_, {});
    for (const auto &call : calls) {
        call->release = {};
        context_.calls.failLater(call, { ErrorKind::Unreachable, error.detail }, false);
    }
}

void Route::sweep()
{
    if (current_ && current_->link().isReady() && current_->isIdle() && messages_.empty() && waiting_.empty()
        && now() - current_->link().lastTraffic() >= context_.link.options.idleTime()) {
        linkTakesNoMore(*current_);
    }
}

bool Route::isEmpty() const noexcept
{
    return !current_ && finishing_.empty() && messages_.empty() && waiting_.empty();
}

void Route::close()
{
    isClosing_ = true;
    const auto calls = std::exchange(waiting_, {});
    for (const auto &call : calls) {
        call->release = {};
        context_.calls.failLater(call, { ErrorKind::Refused, "the network is being closed" }, false);
    }
    if (!current_) {
        return;
    }
    if (current_->link().isReady()) {
        sendMessages();
        linkTakesNoMore(*current_);
    } else {
        const auto link = std::exchange(current_, nullptr);
        link->abort({ ErrorKind::Cancelled, "the network is being closed" });
    }
}

} // namespace lacewing::peer
