#include <telemetry/telemetry.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <fstream>
#include <sstream>

namespace lacewing::telemetry
{

namespace
{

constexpr const char *textPattern = "%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z %p %m%n";
/** The message is the rest of the object; log4cxx's own JSONLayout garbles text beyond ASCII. */
constexpr const char *jsonPattern = "{\"timestamp\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z\",\"level\":\"%p\",%m%n";

log4cxx::LogString toLogString(const std::string &text)
{
    log4cxx::LogString result;
    log4cxx::helpers::Transcoder::decodeUTF8(text, result);
    return result;
}

std::string toText(const FieldValue &value)
{
    const auto number = [](auto held) {
        std::ostringstream text;
        text << std::boolalpha << held;
        return text.str();
    };
    return std::visit(Overloaded { [](const std::string &text) { return text; }, number }, value);
}

/** The text with control characters as "\xNN", so that it stays on one line. */
std::string escaped(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20U || byte == 0x7fU) {
            result += "\\x";
            result += digits[byte >> 4U];
            result += digits[byte & 0xfU];
        } else {
            result += c;
        }
    }
    return result;
}

/** The text in double quotes when it has spaces, quotes or equal signs. */
std::string quoted(const std::string &text)
{
    if (!text.empty() && text.find_first_of(" \"=") == std::string::npos) {
        return text;
    }
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + '"';
}

log4cxx::LevelPtr toLog4cxx(settings::LogLevel level)
{
    switch (level) {
    case settings::LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case settings::LogLevel::Info:
        return log4cxx::Level::getInfo();
    case settings::LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case settings::LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LayoutPtr makeLayout(settings::LogFormat format)
{
    const auto *pattern = format == settings::LogFormat::Json ? jsonPattern : textPattern;
    return std::make_shared<log4cxx::PatternLayout>(toLogString(pattern));
}

std::shared_ptr<log4cxx::WriterAppender> makeAppender(const settings::LogSettings &settings)
{
    std::shared_ptr<log4cxx::WriterAppender> appender;
    if (settings.file.empty() || settings.file == settings::standardOutput) {
        const auto console = std::make_shared<log4cxx::ConsoleAppender>();
        console->setTarget(settings.file.empty() ? log4cxx::ConsoleAppender::getSystemErr()
                                                 : log4cxx::ConsoleAppender::getSystemOut());
        appender = console;
    } else {
        const auto file = std::make_shared<log4cxx::FileAppender>();
        file->setFile(toLogString(settings.file));
        file->setAppend(true);
        appender = file;
    }
    appender->setEncoding(toLogString("UTF-8"));
    appender->setLayout(makeLayout(settings.format));
    log4cxx::helpers::Pool pool;
    appender->activateOptions(pool);
    return appender;
}

/** The message and its fields as name=value. */
std::string textLine(std::string_view what, Fields fields)
{
    std::string line = escaped(what);
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        line += quoted(escaped(toText(field.value)));
    }
    return line;
}

/** The message and its fields as the rest of a JSON object whose opening brace the pattern has written. */
std::string jsonLine(std::string_view what, Fields fields)
{
    nlohmann::ordered_json object { { "message", what } };
    for (const auto &field : fields) {
        std::visit([&](const auto &value) { object["fields"][field.name] = value; }, field.value);
    }
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
}

/** A name for each Logger, since log4cxx shares loggers of the same name. */
std::string nextLoggerName()
{
    static std::atomic<int> count { 0 };
    return "lacewing." + std::to_string(++count);
}

} // namespace

class Logger::State
{
public:
    explicit State(const settings::LogSettings &settings)
        : format_(settings.format)
        , logger_(log4cxx::Logger::getLogger(nextLoggerName()))
    {
        logger_->setAdditivity(false);
        logger_->setLevel(toLog4cxx(settings.level));
        logger_->addAppender(makeAppender(settings));
    }
    ~State()
    {
        logger_->removeAllAppenders();
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    void write(settings::LogLevel level, std::string_view what, Fields fields)
    {
        const auto target = toLog4cxx(level);
        if (!logger_->isEnabledFor(target)) {
            return;
        }
        const auto line = format_ == settings::LogFormat::Json ? jsonLine(what, fields) : textLine(what, fields);
        logger_->forcedLogLS(target, toLogString(line), log4cxx::spi::LocationInfo::getLocationUnavailable());
    }

private:
    settings::LogFormat format_;
    log4cxx::LoggerPtr logger_;
};

Logger::Logger(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Logger::~Logger() = default;

Result<std::unique_ptr<Logger>> Logger::open(const settings::LogSettings &settings)
{
    if (!settings.file.empty() && settings.file != settings::standardOutput
        && !std::ofstream(settings.file, std::ios::app)) {
        return failure(ErrorKind::Io, "can't write to the log file " + settings.file);
    }
    return std::unique_ptr<Logger>(new Logger(std::make_unique<State>(settings)));
}

void Logger::state(std::string_view what, Fields fields)
{
    state_->write(settings::LogLevel::Info, what, fields);
}

void Logger::warn(std::string_view what, Fields fields)
{
    state_->write(settings::LogLevel::Warn, what, fields);
}

void Logger::error(std::string_view what, Fields fields)
{
    state_->write(settings::LogLevel::Error, what, fields);
}

void Logger::debug(std::string_view what, Fields fields)
{
    state_->write(settings::LogLevel::Debug, what, fields);
}

} // namespace lacewing::telemetry
