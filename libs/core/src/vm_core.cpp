#include <core/core.h>

#include <algorithm>
#include <type_traits>

namespace lacewing::core
{
namespace
{

constexpr Duration hintInterval = 1s;

template <typename T>
constexpr bool isForControl = std::is_constructible_v<JobRequestToControl, T>;

} // namespace

VmCore::VmCore(ControlCoreSettings control, JobCoreSettings jobs, Time now)
    : control_(std::move(control), now)
    , jobs_(std::move(jobs))
    , nextHint_(now + hintInterval)
{
}

std::vector<VmEffect> VmCore::handle(const VmEvent &event, Time now, WallTime wall)
{
    std::vector<VmEffect> effects;
    std::visit(Overloaded {
                   [&](const JobEvent &each) { toJobs(each, now, wall, effects); },
                   [&](const ControlEvent &each) { toControl(each, now, wall, effects); },
               },
               event);
    return effects;
}

std::vector<VmEffect> VmCore::tick(Time now, WallTime wall)
{
    std::vector<VmEffect> effects;
    if (now >= nextHint_) {
        nextHint_ = now + hintInterval;
        toControl(HintMeasured { 0, jobs_.ownHint(now) }, now, wall, effects);
    }
    if (now >= control_.nextWake()) {
        toControl(Tick {}, now, wall, effects);
    }
    if (now >= jobs_.nextWake()) {
        toJobs(Tick {}, now, wall, effects);
    }
    return effects;
}

Time VmCore::nextWake() const
{
    return std::min({ nextHint_, control_.nextWake(), jobs_.nextWake() });
}

void VmCore::toJobs(const JobEvent &event, Time now, WallTime wall, std::vector<VmEffect> &effects)
{
    for (JobEffect &effect : jobs_.handle(event, now, wall)) {
        std::visit(
            [&](auto &each) {
                using Each = std::decay_t<decltype(each)>;
                if constexpr (isForControl<Each>) {
                    toControl(FromJobs { each }, now, wall, effects);
                } else {
                    effects.emplace_back(JobEffect(std::move(each)));
                }
            },
            effect);
    }
}

void VmCore::toControl(const ControlEvent &event, Time now, WallTime wall, std::vector<VmEffect> &effects)
{
    for (ControlEffect &effect : control_.handle(event, now, wall)) {
        if (const auto *tell = std::get_if<TellJobs>(&effect)) {
            toJobs(tell->event, now, wall, effects);
        } else {
            effects.emplace_back(std::move(effect));
        }
    }
}

} // namespace lacewing::core
