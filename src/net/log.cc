#include "src/net/log.h"

#include <array>
#include <exception>
#include <string>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <boost/json/serialize.hpp>
#include <boost/locale/utf.hpp>

#include "auburnyard/error.h"

namespace auburnyard {

namespace {

constexpr const char* kLoggerName = "auburnyard";
constexpr std::size_t kQueueLength = 8192;

struct LevelName {
  std::string_view name;
  spdlog::level::level_enum level;
};

constexpr std::array<LevelName, 4> kLevels = {{{"debug", spdlog::level::debug},
                                               {"info", spdlog::level::info},
                                               {"warn", spdlog::level::warn},
                                               {"error", spdlog::level::err}}};

spdlog::level::level_enum ParseLevel(std::string_view name) {
  for (const LevelName& entry : kLevels) {
    if (entry.name == name) {
      return entry.level;
    }
  }
  throw Error(ErrorKind::kBadSettings,
              "log_level: expected \"debug\", \"info\", \"warn\" or \"error\"");
}

// ToJson writes the level name instead of the pattern, because spdlog names the
// levels "warning" and "error".
void InstallLogger(std::string_view level,
                   std::shared_ptr<spdlog::logger> logger) {
  logger->set_level(ParseLevel(level));
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ",%v})",
                      spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::err);
  spdlog::set_default_logger(std::move(logger));
}

std::string ReplaceInvalidUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  std::string valid;
  for (auto position = text.begin(); position != text.end();) {
    const auto start = position;
    const auto code = Traits::decode(position, text.end());
    if (code == boost::locale::utf::illegal ||
        code == boost::locale::utf::incomplete) {
      valid += "\xEF\xBF\xBD";
      position = start + 1;
    } else {
      valid.append(start, position);
    }
  }
  return valid;
}

std::string LevelToString(spdlog::level::level_enum level) {
  for (const LevelName& entry : kLevels) {
    if (entry.level == level) {
      return std::string(entry.name);
    }
  }
  return "info";
}

std::string ToJson(spdlog::level::level_enum level,
                   std::string_view event,
                   std::initializer_list<LogField> fields) {
  boost::json::object object;
  object["level"] = LevelToString(level);
  object["event"] = event;
  for (const LogField& field : fields) {
    object[field.name] = field.value;
  }
  const std::string text = ReplaceInvalidUtf8(boost::json::serialize(object));
  return text.substr(1, text.size() - 2);  // the pattern adds the braces
}

}  // namespace

void SetUpLogging(std::string_view level) {
  ParseLevel(level);
  spdlog::drop(kLoggerName);
  spdlog::init_thread_pool(kQueueLength, 1);
  InstallLogger(
      level, std::make_shared<spdlog::async_logger>(
                 kLoggerName, std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                 spdlog::thread_pool(),
                 spdlog::async_overflow_policy::overrun_oldest));
}

void SetUpLogging(std::string_view level, const spdlog::sink_ptr& sink) {
  InstallLogger(level, std::make_shared<spdlog::logger>(kLoggerName, sink));
}

void ShutDownLogging() {
  spdlog::shutdown();
}

void LogEvent(spdlog::level::level_enum level,
              std::string_view event,
              std::initializer_list<LogField> fields) noexcept {
  try {
    spdlog::logger* logger = spdlog::default_logger_raw();
    if (logger == nullptr || logger->name() != kLoggerName ||
        !logger->should_log(level)) {
      return;
    }
    logger->log(level, spdlog::string_view_t(ToJson(level, event, fields)));
  } catch (const std::exception&) {
    // A log record that cannot be serialized must not fail the request that it
    // describes.
    return;
  }
}

}  // namespace auburnyard
