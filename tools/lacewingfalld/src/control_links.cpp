#include "control_thread.h"

#include "operator_api.h"
#include "sink_adapters.h"
#include "traffic_thread.h"

#include <wire/wire.h>

namespace lacewing::daemon
{
namespace
{

fleet::EndpointLoad toFleet(const endpoint::EndpointLoad &load, WallTime now)
{
    constexpr double perMille = 1000.0;
    fleet::EndpointLoad report;
    report.endpoint = load.endpoint;
    report.incarnation = load.incarnation;
    report.leaving = load.leaving;
    report.slots = load.slots;
    report.running = load.running;
    report.queued = load.waiting;
    report.cachePerMille = static_cast<std::uint32_t>(load.kvUsedShare * perMille);
    report.age = std::max<Duration>(Duration::zero(), now - load.asOf);
    return report;
}

} // namespace

void ControlThread::readList()
{
    platform_->readVms([this](const Result<platform::VmList> &list) {
        if (list) {
            takeList(list.value());
        }
    });
}

void ControlThread::registerSelf()
{
    platform::PlatformVm self;
    self.id = context_.settings.vm.name.text();
    self.kind = platform::VmKind::Entry;
    self.zone = context_.settings.vm.zone;
    self.region = context_.settings.vm.region;
    self.address = publicPeerAddress();
    self.incarnation = context_.incarnation;
    self.state = isLeaving() ? platform::VmState::Leaving : platform::VmState::Live;
    platform_->registerVm(self, [](const Result<void> &) {});
}

void ControlThread::takeList(const platform::VmList &list)
{
    fleet::PlatformList listed;
    listed.asOf = list.asOf;
    for (const platform::PlatformVm &vm : list.vms) {
        const bool leaving = vm.state == platform::VmState::Leaving;
        if (vm.kind == platform::VmKind::Entry) {
            listed.vms.push_back({ VmId(vm.id), vm.region, vm.zone, vm.address, leaving, vm.incarnation });
        } else {
            listed.endpoints.push_back({ EndpointId(vm.id), vm.pool, vm.zone, vm.address, leaving, vm.incarnation });
        }
    }
    handle(core::ListRead { std::move(listed) });
}

void ControlThread::giveSeeds()
{
    fleet::PlatformList seeds;
    for (const std::string &address : context_.settings.peer.seeds) {
        seeds.vms.push_back(
            { VmId(address), context_.settings.vm.region, context_.settings.vm.zone, address, false, {} });
    }
    if (!seeds.vms.empty()) {
        handle(core::ListRead { std::move(seeds) });
    }
}

void ControlThread::pollEndpoints()
{
    for (const auto &[endpoint, watched] : watched_) {
        pollLoad(endpoint, watched.address);
        pollCache(endpoint);
    }
}

void ControlThread::pollLoad(const EndpointId &endpoint, const std::string &address)
{
    endpoints_->readLoad(address, [this, endpoint](const Result<endpoint::EndpointLoad> &load) {
        fleet::EndpointLoad report;
        if (load) {
            report = toFleet(load.value(), loop_.clock().wallNow());
        }
        report.endpoint = endpoint;
        report.reachable = load.has_value();
        handle(core::EndpointPolled { std::move(report) });
    });
}

void ControlThread::pollCache(const EndpointId &endpoint)
{
    const Watched &watched = watched_.at(endpoint);
    const auto take = [this, endpoint](const Result<endpoint::CacheEvents> &events) {
        const auto found = watched_.find(endpoint);
        if (!events || found == watched_.end()) {
            return;
        }
        found->second.nextCacheEvent = events.value().next;
        for (const endpoint::CacheEvent &each : events.value().events) {
            policy::CacheEvent event;
            event.endpoint = endpoint;
            event.incarnation = events.value().incarnation;
            event.sequence = each.sequence;
            event.prefix = policy::PrefixHash(each.prefix);
            event.kind = each.change == endpoint::CacheChange::Stored ? policy::CacheEvent::Kind::Stored
                                                                      : policy::CacheEvent::Kind::Evicted;
            for (const auto &thread : *traffic_) {
                thread->put(core::CacheNews { event });
            }
        }
    };
    endpoints_->readCacheEvents(watched.address, watched.nextCacheEvent, take);
}

void ControlThread::forward(std::string address, const PeerCall &call, ForwardHandlers handlers)
{
    loop_.post([this, address = std::move(address), bytes = encodeCall(call), handlers = std::move(handlers)] {
        peer::CallLimits limits;
        // A job may be silent for long; a lost VM is noticed by the link's own probes.
        limits.firstByte = Duration::zero();
        limits.nextByte = Duration::zero();
        limits.total = Duration::zero();
        auto complete = std::make_shared<bool>(false);
        peer::CallHandlers callHandlers;
        callHandlers.onData = [handlers, complete](const std::string &message) {
            auto piece = decodePiece(message);
            if (!piece) {
                return;
            }
            const bool goesOn = std::holds_alternative<AcceptedPiece>(piece.value())
                || std::holds_alternative<TextPiece>(piece.value());
            *complete = *complete || !goesOn;
            handlers.onPiece(std::move(piece.value()));
        };
        callHandlers.onEnd = [handlers, complete] {
            if (!*complete) {
                handlers.onFailed(Error { ErrorKind::ConnectionLost, "answer without an end" }, true);
            }
        };
        callHandlers.onFailed = [handlers](const Error &error, bool sent) { handlers.onFailed(error, sent); };
        peers_->call(address, bytes, limits, std::move(callHandlers));
    });
}

void ControlThread::onPeerMessage(const peer::PeerIdentity &from, const std::string &bytes)
{
    auto message = wire::decode<core::PeerMessage>(bytes);
    if (message) {
        handle(core::PeerReceived { from.vm, std::move(message.value()) });
    }
}

void ControlThread::onPeerCall(peer::PeerCallWriter writer, const std::string &bytes)
{
    const auto call = decodeCall(bytes);
    if (!call) {
        writer.fail(call.error());
        return;
    }
    std::visit(Overloaded {
                   [&](const AttachCall &each) {
                       giveToThread(
                           each.job,
                           [each](core::RequestId id) {
                               return core::Attach { id, each.job, each.from };
                           },
                           writer);
                   },
                   [&](const StatusCall &each) {
                       giveToThread(
                           each.job,
                           [each](core::RequestId id) {
                               return core::Query { id, each.job };
                           },
                           writer);
                   },
                   [&](const CancelJobCall &each) {
                       giveToThread(
                           each.job,
                           [each](core::RequestId id) {
                               return core::CancelJob { id, each.job };
                           },
                           writer);
                   },
                   [&](const TicketCall &each) {
                       core::CallerRequest job;
                       job.workspace = each.workspace;
                       job.jobClass = each.jobClass;
                       job.input = each.input;
                       job.maxTokens = each.maxTokens;
                       job.timeout = each.timeout;
                       job.ticket = each.ticket;
                       job.repeatable = false;
                       const JobId any { context_.incarnation, hashBytes(each.ticket) };
                       const JobId wanted { each.owner, any.sequence };
                       giveToThread(
                           wanted,
                           [job](core::RequestId id) {
                               return core::Submit { id, job };
                           },
                           writer);
                   },
                   [&](const VmStatusCall &) {
                       writer.write(encodePiece(JsonPiece { api_->vmJson() }));
                       writer.end();
                   },
               },
               call.value());
}

void ControlThread::giveToThread(const JobId &job,
                                 std::function<core::JobEvent(core::RequestId)> makeEvent,
                                 peer::PeerCallWriter writer)
{
    auto sink = makePeerSink(std::move(writer));
    if (job.owner != context_.incarnation) {
        sink->refused({ pipeline::FailureReason::OwnerLost, Ran::Unknown, Duration::zero() });
        return;
    }
    const auto count = static_cast<std::uint32_t>(traffic_->size());
    const auto &thread = (*traffic_)[core::threadOf(job, count)];
    thread->putRequest({ std::move(makeEvent), makeThreadHop(loop_, std::move(sink)) });
}

} // namespace lacewing::daemon
