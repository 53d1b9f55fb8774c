#include <telemetry/telemetry.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace lacewing::telemetry
{

namespace
{

constexpr std::array latencyBounds { 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                     0.1,    0.25,    0.5,    1.0,   2.5,    5.0,   10.0, 30.0,  60.0 };
/** Label value of the series that takes what goes over maxSeriesPerMetric. */
constexpr const char *overflowValue = "other";

std::string_view suffixOf(Unit unit)
{
    switch (unit) {
    case Unit::Seconds:
        return "_seconds";
    case Unit::Bytes:
        return "_bytes";
    case Unit::Currency:
        return "_currency";
    case Unit::None:
        break;
    }
    return "";
}

std::string exposedName(const MetricSpec &spec, std::string_view kindSuffix)
{
    std::string name = "lacewing_";
    name += spec.name.text();
    name += suffixOf(spec.unit);
    name += kindSuffix;
    return name;
}

prometheus::Labels toPrometheus(const Labels &labels)
{
    prometheus::Labels result;
    for (const auto &label : labels) {
        result.emplace(label.name.text(), label.value);
    }
    return result;
}

/** All series of one name. */
template <typename Metric>
struct Series {
    prometheus::Family<Metric> *family = nullptr;
    std::map<prometheus::Labels, Metric *> metrics;
    prometheus::Histogram::BucketBoundaries buckets; ///< for histograms
};

template <typename Metric>
Metric &addMetric(Series<Metric> &series, const prometheus::Labels &labels)
{
    if constexpr (std::is_same_v<Metric, prometheus::Histogram>) {
        return series.family->Add(labels, series.buckets);
    } else {
        return series.family->Add(labels);
    }
}

/** The metric of a label set, or of the overflow series when there are too many. */
template <typename Metric>
Metric *findOrAdd(Series<Metric> &series, prometheus::Labels labels)
{
    if (const auto found = series.metrics.find(labels); found != series.metrics.end()) {
        return found->second;
    }
    if (series.metrics.size() >= maxSeriesPerMetric) {
        for (auto &[name, value] : labels) {
            value = overflowValue;
        }
    }
    auto &metric = series.metrics[labels];
    if (!metric) {
        metric = &addMetric(series, labels);
    }
    return metric;
}

} // namespace

class Metrics::State
{
public:
    /** The series of a name, made by `build` at the first call. */
    template <typename Metric, typename Builder>
    Series<Metric> &series(std::map<std::string, Series<Metric>> &all,
                           const std::string &name,
                           const MetricSpec &spec,
                           Builder build)
    {
        auto &found = all[name];
        if (!found.family) {
            found.family = &build().Name(name).Help(std::string(spec.help)).Register(registry);
        }
        return found;
    }

    std::mutex mutex;
    prometheus::Registry registry { prometheus::Registry::InsertBehavior::Throw };
    std::map<std::string, Series<prometheus::Counter>> counters;
    std::map<std::string, Series<prometheus::Gauge>> gauges;
    std::map<std::string, Series<prometheus::Histogram>> histograms;
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

Counter Metrics::counter(const MetricSpec &spec, const Labels &labels)
{
    const std::lock_guard lock(state_->mutex);
    auto &series = state_->series(state_->counters, exposedName(spec, "_total"), spec, prometheus::BuildCounter);
    Counter counter;
    counter.target_ = findOrAdd(series, toPrometheus(labels));
    return counter;
}

Gauge Metrics::gauge(const MetricSpec &spec, const Labels &labels)
{
    const std::lock_guard lock(state_->mutex);
    auto &series = state_->series(state_->gauges, exposedName(spec, ""), spec, prometheus::BuildGauge);
    Gauge gauge;
    gauge.target_ = findOrAdd(series, toPrometheus(labels));
    return gauge;
}

Histogram Metrics::histogram(const MetricSpec &spec, const Labels &labels, std::span<const double> buckets)
{
    const std::lock_guard lock(state_->mutex);
    auto &series = state_->series(state_->histograms, exposedName(spec, ""), spec, prometheus::BuildHistogram);
    if (series.buckets.empty()) {
        const auto bounds = buckets.empty() ? latencyBuckets() : buckets;
        series.buckets.assign(bounds.begin(), bounds.end());
    }
    Histogram histogram;
    histogram.target_ = findOrAdd(series, toPrometheus(labels));
    return histogram;
}

std::string Metrics::exposition() const
{
    const auto families = state_->registry.Collect();
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, families);
    return text.str();
}

void Counter::add(double by)
{
    if (target_) {
        static_cast<prometheus::Counter *>(target_)->Increment(by);
    }
}

void Gauge::set(double value)
{
    if (target_) {
        static_cast<prometheus::Gauge *>(target_)->Set(value);
    }
}

void Gauge::add(double by)
{
    if (target_) {
        static_cast<prometheus::Gauge *>(target_)->Increment(by);
    }
}

void Histogram::observe(double value)
{
    if (target_) {
        static_cast<prometheus::Histogram *>(target_)->Observe(value);
    }
}

void Histogram::observe(Duration duration)
{
    observe(toSeconds(duration));
}

std::span<const double> latencyBuckets() noexcept
{
    return latencyBounds;
}

} // namespace lacewing::telemetry
