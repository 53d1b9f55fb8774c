#pragma once

#include <base/base.h>
#include <settings/settings.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/**
 * Metrics and logs. Metrics count what happens; log lines are for changes of state only. Everything here is
 * thread-safe.
 */
namespace lacewing::telemetry
{

// ---------------------------------------------------------------------------------------------------------------------
// Metrics

/** Name of a metric or label, checked at compile time: lower-case letters, digits and "_", first a letter. */
class MetricName
{
public:
    template <std::size_t Size>
    consteval MetricName(const char (&text)[Size]) // NOLINT(google-explicit-constructor): literals convert
        : text_(text, Size - 1)
    {
        if (!isValid(text_)) {
            throw "not the name of a metric or label";
        }
    }

    constexpr std::string_view text() const noexcept
    {
        return text_;
    }

private:
    static constexpr bool isValid(std::string_view text)
    {
        for (const char c : text) {
            if ((c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_') {
                return false;
            }
        }
        return !text.empty() && text.front() >= 'a' && text.front() <= 'z';
    }

    std::string_view text_;
};

/** Unit of a metric's values; becomes a suffix of its name. */
enum class Unit : std::uint8_t {
    None, ///< a plain number of things
    Seconds,
    Bytes,
    Currency, ///< units of the currency, not millionths
};

/**
 * What a metric is called and means. The exposed name is "lacewing_", the name, the unit's suffix and, for counters,
 * "_total".
 */
struct MetricSpec {
    MetricName name;
    std::string_view help; ///< one sentence for operators
    Unit unit = Unit::None;
};

/** One label of a series. Values are free text. */
struct Label {
    MetricName name;
    std::string value;
};
using Labels = std::vector<Label>;

/** A number that only grows. A copyable handle that stays valid as long as its Metrics. */
class Counter
{
public:
    /** @param by 0 or more */
    void add(double by = 1);

private:
    friend class Metrics;
    void *target_ = nullptr;
};

/** A number that goes up and down. A copyable handle that stays valid as long as its Metrics. */
class Gauge
{
public:
    void set(double value);
    void add(double by);

private:
    friend class Metrics;
    void *target_ = nullptr;
};

/** A distribution of values. A copyable handle that stays valid as long as its Metrics. */
class Histogram
{
public:
    void observe(double value);
    /** Observes a span of time in seconds. */
    void observe(Duration duration);

private:
    friend class Metrics;
    void *target_ = nullptr;
};

/** Upper bounds of latency histograms, in seconds: 100 us to 60 s. */
std::span<const double> latencyBuckets() noexcept;

/** Most series of one metric; what goes over is counted in one series whose label values are all "other". */
constexpr std::size_t maxSeriesPerMetric = 2'000;

/**
 * The metrics of one process. Asking twice for the same name and labels gives the same series. A name belongs to one
 * kind of metric and one set of label names; using it for another kind throws std::invalid_argument.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    Counter counter(const MetricSpec &spec, const Labels &labels = {});
    Gauge gauge(const MetricSpec &spec, const Labels &labels = {});
    /** @param buckets upper bounds, growing; fixed by the first call for a name */
    Histogram histogram(const MetricSpec &spec, const Labels &labels = {}, std::span<const double> buckets = {});

    /** All series in the Prometheus text format. */
    std::string exposition() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// ---------------------------------------------------------------------------------------------------------------------
// Logs

/** Value of a field of a log line. */
using FieldValue = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

/** One named value of a log line. */
struct Field {
    Field(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(std::string(text))
    {
    }
    Field(std::string_view fieldName, const char *text)
        : Field(fieldName, std::string_view(text))
    {
    }
    template <typename Tag>
    Field(std::string_view fieldName, const Name<Tag> &id)
        : Field(fieldName, std::string_view(id.text()))
    {
    }
    template <typename Tag, typename Rep>
    Field(std::string_view fieldName, Number<Tag, Rep> number)
        : Field(fieldName, number.value())
    {
    }
    Field(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    template <std::integral T>
    Field(std::string_view fieldName, T number)
        : name(fieldName)
    {
        if constexpr (std::signed_integral<T>) {
            value = std::int64_t(number);
        } else {
            value = std::uint64_t(number);
        }
    }
    Field(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }

    std::string name;
    FieldValue value;
};
using Fields = std::initializer_list<Field>;

/**
 * Writes one line for each change of state.
 *
 * In the format Json a line is an object with "timestamp", "level", "message" and "fields"; in the format Text it is
 * the time, the level, the message and the fields as name=value. Times are UTC. Bytes that are not UTF-8 are replaced,
 * and control characters escaped, so that one call is always one line.
 */
class Logger
{
public:
    /** Opens the file named in the settings, to append to it, or standard error. Fails with Io. */
    static Result<std::unique_ptr<Logger>> open(const settings::LogSettings &settings);
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /** A change of state, at level info. */
    void state(std::string_view what, Fields fields = {});
    /** A change for the worse that the system deals with by itself. */
    void warn(std::string_view what, Fields fields = {});
    /** A failure that needs an operator. */
    void error(std::string_view what, Fields fields = {});
    /** Detail for developers. */
    void debug(std::string_view what, Fields fields = {});

private:
    class State;
    explicit Logger(std::unique_ptr<State> state);
    std::unique_ptr<State> state_;
};

} // namespace lacewing::telemetry
