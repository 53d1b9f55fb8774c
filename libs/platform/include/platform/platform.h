#pragma once

#include <base/base.h>
#include <log/log.h>
#include <net/net.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/**
 * Calls to the platform: its log and its list of VMs.
 *
 * PlatformClient is the interface; makeHttpPlatformClient() makes the implementation over HTTP/1.1. The protocol is
 * described in docs/PLATFORM.md.
 */
namespace lacewing::platform
{

/** What a VM of the list is for. */
enum class VmKind : std::uint8_t {
    Entry, ///< runs lacewingfall
    Endpoint, ///< runs stages
};

/** Whether a VM of the list may still be given work. */
enum class VmState : std::uint8_t { Live, Leaving };

/** One VM as the platform's list shows it. */
struct PlatformVm {
    std::string id; ///< VmId of an entry VM, EndpointId of an endpoint
    VmKind kind = VmKind::Entry;
    PoolId pool; ///< endpoints only
    AvailabilityZoneId zone;
    RegionId region;
    std::string address; ///< ip:port; of an endpoint's HTTP interface, of an entry VM's peer interface
    Incarnation incarnation;
    VmState state = VmState::Live;

    bool operator==(const PlatformVm &) const = default;
};

/** The platform's list of VMs, as old as asOf says. */
struct VmList {
    WallTime asOf; ///< platform's clock when the list was made
    std::vector<PlatformVm> vms;
};

/** Counts of a PlatformClient since its start. */
struct PlatformCounters {
    std::uint64_t appends = 0;
    std::uint64_t appendsDone = 0;
    std::uint64_t appendsNotDone = 0;
    std::uint64_t appendsUnknown = 0;
    std::uint64_t reads = 0;
    std::uint64_t readsFailed = 0;
    std::uint64_t lists = 0;
    std::uint64_t listsFailed = 0;
};

/** Speaks to the platform. Belongs to one event loop; callbacks come later on its thread, once for each call. */
class PlatformClient
{
public:
    virtual ~PlatformClient() = default;

    /** Carries out a request to the log. */
    virtual void submit(log::Request request, std::function<void(log::Answer)> callback) = 0;
    /** Reads the list of VMs. */
    virtual void readVms(std::function<void(Result<VmList>)> callback) = 0;
    /** Puts an entry VM on the list, or renews it there. */
    virtual void registerVm(const PlatformVm &vm, std::function<void(Result<void>)> callback) = 0;

    virtual const PlatformCounters &counters() const noexcept = 0;
};

/** Settings of the HTTP implementation. */
struct HttpPlatformSettings {
    std::string address; ///< ip:port
    AvailabilityZoneId zone; ///< own zone, sent along with each request
    Duration connect = std::chrono::milliseconds(500);
    Duration answer = std::chrono::seconds(2); ///< silence after which an answer counts as lost, besides a read's wait
    std::size_t maxRecordsPerRead = 1000;
};

/** Makes a client over HTTP/1.1. @param loop outlives the client */
std::unique_ptr<PlatformClient> makeHttpPlatformClient(net::EventLoop &loop, HttpPlatformSettings settings);

} // namespace lacewing::platform
