#pragma once

#include <base/base.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lacewing::standin
{

/** What can be made to go wrong. */
enum class FaultKind : std::uint8_t {
    Slow, ///< value: factor on service times of endpoints, milliseconds of delay for log, vms and weights
    CrashOnMarker, ///< a call whose content holds the marker crashes the endpoint that runs it
    Crash, ///< at once; value: milliseconds until the restart
    LoseAnswer, ///< the request takes effect, and its connection closes without an answer; value: share
    Silent, ///< requests are taken and never answered; value "open": only on connections already open
    Lag, ///< value: milliseconds that reports are older
    Gap, ///< value: share of cache events left out
    StreamGap, ///< value: share of chunks left out of streams
    Partition, ///< a zone and another, or "platform", don't hear each other; value: the other one, "*" for all
    Outage, ///< connections are closed; value "503": answered so instead
    Cross, ///< an answer is given to another request
    Late, ///< value: milliseconds that finished answers are held
};

std::optional<FaultKind> faultKindFromText(std::string_view text);
std::string_view toText(FaultKind kind);

/** One fault switched on. */
struct Fault {
    std::string target; ///< endpoint, pool, "log", "vms", "weights", "zone:<zone>" or "*"
    FaultKind kind = FaultKind::Slow;
    std::string value;
    std::string mode; ///< of a partition: "blackhole" or "refuse"
    Time since {};
    std::optional<Time> until;

    /** The value as a number, or a default when there is none. */
    double number(double otherwise) const;
};

/** Who a request is for. */
struct FaultTarget {
    std::string id; ///< endpoint, or part of the platform
    std::string pool;
    std::string zone; ///< "platform" for its parts
};

/** The faults switched on at present. */
class Faults
{
public:
    explicit Faults(const Clock &clock);

    void add(Fault fault);
    /** Ends every fault of a target; of all targets when it is empty. */
    void remove(std::string_view target);
    const std::vector<Fault> &all();

    /** The newest fault of a kind on a target. */
    std::optional<Fault> find(FaultKind kind, const FaultTarget &target);
    bool has(FaultKind kind, const FaultTarget &target);
    /** The partition between a request's zone and its target, if there is one. */
    std::optional<Fault> partition(std::string_view fromZone, const FaultTarget &target);

private:
    void dropEnded();

    const Clock &clock_;
    std::vector<Fault> faults_;
};

} // namespace lacewing::standin
