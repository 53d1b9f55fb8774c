#include "relay_service.h"

#include "endpoint_attempt.h"
#include "request_placement.h"

namespace lacewing::gateway
{
namespace
{

net::HttpRequest toRequest(RelayRequest &message, MemoryReservation memory, Time receivedAt)
{
    net::HttpRequest request;
    request.method = std::move(message.method);
    request.target = std::move(message.target);
    request.headers = toHeaders(std::move(message.headers));
    request.body = net::Body(std::move(message.body), std::move(memory));
    request.receivedAt = receivedAt;
    return request;
}

ResultBytes toResultBytes(const std::vector<ZoneBytesMessage> &messages)
{
    ResultBytes bytes;
    for (const auto &message : messages) {
        if (message.zone.empty()) {
            bytes.total = message.bytes;
        } else {
            bytes.byZone[AvailabilityZoneId(message.zone)] = message.bytes;
        }
    }
    return bytes;
}

} // namespace

/** One request of another VM. */
class RelayService::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(RelayService &service, RelayRequest request, peer::PeerCallWriter writer)
        : service_(service)
        , shared_(service.shared_)
        , message_(std::move(request))
        , writer_(std::move(writer))
        , deadline_(shared_.context.now() + std::chrono::milliseconds(message_.remainingMs))
    {
    }

    void start()
    {
        MemoryReservation memory(shared_.memory);
        const bool hasMemory = shared_.reserve(memory, message_.body.size());
        request_ = toRequest(message_, std::move(memory), shared_.context.now());
        const auto metadata = userplatform::parseRequestMetadata(request_);
        if (!metadata) {
            refuse(metadata.error().detail);
            return;
        }
        metadata_ = metadata.value();
        sharedParts_ = dispatch::sharedParts(metadata_.promptParts);
        if (service_.isStopped_) {
            refuse("vm leaves");
        } else if (shared_.state.isConfirmationPending()) {
            refuse("vm stood still"); // the request may have waited, and its times have run on
        } else if (!hasMemory) {
            refuse("no memory for the body");
        } else if (message_.remainingMs <= 0) {
            refuse("deadline already passed");
        } else if (shared_.reachability.isUnreachable(message_.service)) {
            refuse("service unreachable", true);
        } else if (shared_.poisonRequests.isQuarantined(Fingerprint(message_.fingerprint))) {
            refuse("quarantined");
        } else if (!service_.limit_.tryAcquire()) {
            refuse("limit of relayed requests");
        } else {
            holdsPlace_ = true;
            const auto weak = weak_from_this();
            writer_.onClosed([weak] {
                if (const auto self = weak.lock()) {
                    self->cancel();
                }
            });
            if (message_.origin) {
                confirmEndpointsAndSend();
            } else {
                send();
            }
        }
    }

    void cancel()
    {
        finish(dispatch::SendOutcome::Cancelled, "cancelled");
    }

private:
    /** Has the registrations confirmed, as a stream may go on only at endpoints of its software version. */
    void confirmEndpointsAndSend()
    {
        shared_.state.confirmEndpoints([weak = weak_from_this()](bool isCurrent) {
            const auto self = weak.lock();
            if (!self || !self->service_.calls_.contains(self)) {
                return;
            }
            if (!isCurrent && self->shared_.state.isViewStalled()) {
                self->refuse("endpoints not confirmed after a stall");
            } else {
                self->send();
            }
        });
    }

    void send()
    {
        // The VM that asks does not tell the route: requests of one service count as alike, and none may be repeated.
        RequestPlacement placement(
            shared_,
            metadata_,
            message_.service,
            cost::RequestClass::ofRequest(routing::RouteId(message_.service.text()), request_.body.size()),
            dispatch::Repetition::Forbidden);
        const auto results = toResultBytes(message_.resultBytes);
        const auto &routes = shared_.state.routes();
        const auto *service = routes ? routes->findService(message_.service) : nullptr;
        std::vector<EndpointId> triedEndpoints;
        for (const auto &endpoint : message_.triedEndpoints) {
            triedEndpoints.emplace_back(endpoint);
        }
        std::optional<routing::StreamOrigin> origin;
        if (message_.origin) {
            origin = routing::StreamOrigin { message_.origin->service, message_.origin->version };
        }
        const auto *entry = placement.choose(
            triedEndpoints, service != nullptr ? service->maxConnections : 0, std::nullopt, origin, results);
        if (entry == nullptr) {
            refuse("no endpoint available");
            return;
        }
        userplatform::ForwardParameters parameters;
        parameters.endpoint = entry->id;
        if (message_.workspace) {
            parameters.workspace = WorkspaceId(*message_.workspace);
        }
        parameters.remainingTime = deadline_ - shared_.context.now();
        for (const auto &handle : message_.inputs) {
            parameters.inputs.emplace_back(handle);
        }
        parameters.urgency = message_.urgency;
        parameters.lastEventId = message_.lastEventId;
        shared_.decisionLog.write("request sent for another vm",
                                  { { "request", metadata_.id },
                                    { "service", message_.service },
                                    { "endpoint", entry->id },
                                    { "remaining_ms", message_.remainingMs } },
                                  shared_.context.now());
        service_.servedCounter_.add();
        write({ .sent = RelaySentMessage {
                    entry->id.text(), entry->incarnation.value(), entry->zone.text(), entry->softwareVersion } });
        shared_.notices.onSend(entry->lifetime());
        shared_.prefixCache.recordUse(entry->id, metadata_.promptParts, shared_.context.now());
        const auto weak = weak_from_this();
        deadlineTimer_ = shared_.context.loop.timers().once(deadline_, [weak](Time) {
            if (const auto self = weak.lock()) {
                self->fail({ ErrorKind::Timeout, "deadline exceeded" });
            }
        });
        writer_.onDrained([weak] {
            if (const auto self = weak.lock()) {
                self->flush();
            }
        });
        AttemptHandlers handlers;
        handlers.onHead = [weak] {
            if (const auto self = weak.lock()) {
                self->handleHead();
            }
        };
        handlers.onBody = [weak](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->handleBody(bytes);
            }
        };
        handlers.onEnd = [weak](const net::HttpEnd &end) {
            if (const auto self = weak.lock()) {
                self->handleEnd(end);
            }
        };
        auto attempt =
            std::make_shared<EndpointAttempt>(shared_, *entry, placement.costAt(*entry), std::move(handlers));
        attempt_ = attempt;
        attempt->start(userplatform::makeForwardCall(request_, metadata_, entry->address, parameters));
    }

    void handleHead()
    {
        const auto &head = attempt_->head();
        write({ .head = RelayHeadMessage { head.status, toMessage(head.headers), head.framing } });
    }

    void handleBody(std::string_view bytes)
    {
        attempt_->completeWork();
        write({ .body = std::string(bytes) });
    }

    void handleEnd(const net::HttpEnd &end)
    {
        const bool isLost = end.error && end.requestWritten && end.error->kind == ErrorKind::ConnectionLost;
        const bool mayBeComplete = !end.error && attempt_->isAuthentic(metadata_.id)
            && attempt_->head().framing == net::BodyFraming::UntilClose;
        if (isLost || mayBeComplete) {
            shared_.poisonRequests.onConnectionLost(
                attempt_->entry(),
                attempt_->lostRequest(Fingerprint(message_.fingerprint), sharedParts_, mayBeComplete),
                shared_.client);
        } else if (end.error && !end.requestWritten && end.error->kind == ErrorKind::Unreachable) {
            shared_.poisonRequests.onUnreachable(attempt_->entry());
        }
        RelayEndMessage message;
        if (end.error) {
            message = { end.error->kind, end.error->detail, end.requestWritten };
        }
        isEnding_ = true;
        write({ .end = std::move(message) });
        const auto outcome = !end.error ? attempt_->outcome(metadata_.id)
            : end.requestWritten        ? dispatch::SendOutcome::Failed
                                        : dispatch::SendOutcome::Unreachable;
        attempt_->close(outcome);
        if (pending_.empty()) {
            writer_.end();
            finish(outcome, "answered");
        }
    }

    /** Sends an event, after those that wait for the link. */
    void write(const RelayEvent &event)
    {
        auto bytes = wire::encode(event);
        if (!pending_.empty() || writer_.write(bytes) == net::WriteOutcome::Full) {
            pendingBytes_ += bytes.size();
            pending_.push_back(std::move(bytes));
            if (pendingBytes_ > shared_.maxAnswerBytes || !shared_.memory->tryGrow(0, pending_.back().size())) {
                pendingBytes_ -= pending_.back().size();
                pending_.pop_back();
                fail({ ErrorKind::TooLarge, "the answer is read too slowly" });
            }
        }
    }

    void flush()
    {
        while (!pending_.empty()) {
            if (writer_.write(pending_.front()) == net::WriteOutcome::Full) {
                return;
            }
            shared_.memory->release(pending_.front().size());
            pendingBytes_ -= pending_.front().size();
            pending_.pop_front();
        }
        if (isEnding_) {
            writer_.end();
            finish(dispatch::SendOutcome::Cancelled, "answered");
        }
    }

    void refuse(std::string_view reason, bool isServiceUnreachable = false)
    {
        service_.refusedCounter_.add();
        writer_.write(
            wire::encode(RelayEvent { .refusal = RelayRefusalMessage { std::string(reason), isServiceUnreachable } }));
        writer_.end();
        finish(dispatch::SendOutcome::Cancelled, reason);
    }

    void fail(const Error &error)
    {
        writer_.fail(error);
        finish(dispatch::SendOutcome::Cancelled, error.detail);
    }

    void finish(dispatch::SendOutcome outcome, std::string_view reason)
    {
        const auto self = shared_from_this();
        if (service_.calls_.erase(self) == 0) {
            return;
        }
        shared_.decisionLog.write("relay ended",
                                  { { "request", metadata_.id },
                                    { "outcome", reason },
                                    { "status", attempt_ ? attempt_->head().status : 0 },
                                    { "endpoint", attempt_ ? attempt_->endpoint() : EndpointId() },
                                    { "connection", attempt_ ? attempt_->connection() : net::ConnectionNumber() },
                                    { "in_flight", service_.limit_.inFlight() } },
                                  shared_.context.now());
        shared_.context.loop.timers().cancel(deadlineTimer_);
        if (attempt_) {
            attempt_->close(outcome);
        }
        shared_.memory->release(pendingBytes_);
        pending_.clear();
        if (holdsPlace_) {
            service_.limit_.release();
        }
        writer_.onClosed(nullptr);
        writer_.onDrained(nullptr);
    }

    RelayService &service_;
    RequestContext &shared_;
    RelayRequest message_;
    peer::PeerCallWriter writer_;
    Time deadline_;
    net::HttpRequest request_;
    userplatform::RequestMetadata metadata_;
    std::vector<dispatch::PromptPartId> sharedParts_;
    std::shared_ptr<Attempt> attempt_; ///< null until the request is sent
    TimerHandle deadlineTimer_;
    std::deque<std::string> pending_; ///< events that the link has not taken yet
    std::size_t pendingBytes_ = 0;
    bool isEnding_ = false; ///< the last event is written or pending
    bool holdsPlace_ = false; ///< counts in the limit
};

RelayService::RelayService(RequestContext &shared)
    : shared_(shared)
    , limit_(shared.context.settings.cpuShare, shared.context.settings.linkMbps)
    , servedCounter_(shared.context.metrics.counter({ "relays_served", "Requests sent for other VMs" }))
    , refusedCounter_(shared.context.metrics.counter({ "relays_refused", "Requests of other VMs that were not sent" }))
{
}

RelayService::~RelayService() = default;

void RelayService::serve(RelayRequest request, peer::PeerCallWriter writer)
{
    const auto call = std::make_shared<Call>(*this, std::move(request), std::move(writer));
    calls_.insert(call);
    call->start();
}

void RelayService::stop()
{
    isStopped_ = true;
}

} // namespace lacewing::gateway
