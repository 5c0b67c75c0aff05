#ifndef AUBURNYARD_SRC_NET_LOG_H_
#define AUBURNYARD_SRC_NET_LOG_H_

#include <initializer_list>
#include <memory>
#include <string_view>

#include <spdlog/common.h>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>

namespace auburnyard {

/// Name and value of a logged field. The value may be anything that
/// boost::json::value_from converts.
struct LogField {
  template <typename Value>
  LogField(std::string_view field_name, const Value& field_value)
      : name(field_name), value(boost::json::value_from(field_value)) {}

  std::string_view name;
  boost::json::value value;
};

/// Writes JSON lines to standard output from a separate thread. `level` is
/// "debug", "info", "warn" or "error"; throws Error(kBadSettings) for any
/// other. While the queue is full, the oldest messages are dropped, so that a
/// blocked reader of the log never blocks a query.
void SetUpLogging(std::string_view level);
/// Writes JSON lines to `sink` from the calling thread.
void SetUpLogging(std::string_view level, const spdlog::sink_ptr& sink);
/// Flushes the queue and stops the logging thread. No other thread may log at
/// the same time or later.
void ShutDownLogging();

/// Logs an event with its fields: {"time":...,"level":...,"event":...,fields}.
/// Does nothing before SetUpLogging. Never throws. Bytes that are not UTF-8 are
/// replaced by U+FFFD.
void LogEvent(spdlog::level::level_enum level,
              std::string_view event,
              std::initializer_list<LogField> fields = {}) noexcept;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_LOG_H_
