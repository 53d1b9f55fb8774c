#pragma once

#include "context.h"
#include "fleet_links.h"

#include <routing/routing.h>

#include <functional>
#include <map>
#include <memory>

namespace lacewing::gateway
{

/**
 * What this VM knows of the desired state and the endpoints.
 *
 * A few VMs follow the store and push what they read to all others. A VM that hears none of them, or hears that the
 * store doesn't answer them, follows the store itself; while the store doesn't answer it either, it asks any VM that
 * knows more. A desired state never gives way to an older one.
 */
class FleetState
{
public:
    FleetState(Context &context, FleetLinks &links, std::function<void()> onChanged);

    /** Begins to follow the store, and tells it this VM's address. */
    void start();
    /** Takes this VM's address out of the store. */
    void leave(std::function<void()> whenDone);

    /** Null until a desired state is known. */
    const std::shared_ptr<const routing::RouteTable> &routes() const noexcept
    {
        return routes_;
    }
    routing::EndpointDirectory &endpoints() noexcept
    {
        return endpoints_;
    }
    /** A desired state and the endpoints' registrations are known. */
    bool isKnown() const noexcept
    {
        return routes_ != nullptr && endpointsKnown_;
    }

    /** Another VM says how far its view goes. */
    void heard(const VmId &vm, const Beacon &beacon);
    /** Another VM asks for records. */
    void answer(const RecordsRequest &request, peer::PeerCallWriter writer) const;
    /** Another VM has read records. */
    void pushed(const VmId &vm, const RecordsPush &push);

private:
    /** What was read of one topic. */
    struct Mirror {
        std::map<std::string, userplatform::StoreRecord> newest; ///< by key; removed ones too
        std::uint64_t end = 0;
        bool lost = false;
        std::optional<Time> askedPeerAt;
    };

    void watch(userplatform::Topic topic, const userplatform::WatchOptions &times);
    void take(userplatform::Topic topic,
              const std::vector<userplatform::StoreRecord> &records,
              std::uint64_t end,
              bool isAll);
    static void markRemoved(Mirror &mirror, const std::vector<userplatform::StoreRecord> &present, std::uint64_t end);
    void takeRecord(userplatform::Topic topic, const userplatform::StoreRecord &record);
    void takeDesiredState(const userplatform::StoreRecord &record);
    void takeEndpoint(const userplatform::StoreRecord &record);
    void takeVm(const userplatform::StoreRecord &record);
    void push(userplatform::Topic topic, std::uint64_t after, const std::vector<userplatform::StoreRecord> &records);
    void chooseReaders();
    bool isReader() const;
    bool isServedByReaders() const;
    void expire(Time now);
    void changed();
    void updateView();
    void takeFromPeer(userplatform::Topic topic, const RecordsAnswer &answer);
    void askPeer(userplatform::Topic topic, const VmId &vm);

    Context &context_;
    FleetLinks &links_;
    std::function<void()> onChanged_;
    userplatform::StoreClient store_;
    std::map<userplatform::Topic, Mirror> mirrors_;
    std::shared_ptr<const routing::RouteTable> routes_;
    routing::EndpointDirectory endpoints_;
    bool endpointsKnown_ = false;
    bool follows_ = true; ///< this VM reads the store itself
};

} // namespace lacewing::gateway
