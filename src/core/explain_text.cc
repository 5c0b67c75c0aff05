#include <cstdio>

#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "auburnyard/explain.h"
#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr double kMaxMs = 1e12;
constexpr std::uint64_t kMaxCount = 1'000'000'000;

std::string FormatTime(double milliseconds) {
  char text[32];
  std::snprintf(text, sizeof(text), "%+10.3f ms", milliseconds);
  return text;
}

std::string FormatStep(const boost::json::value& value) {
  const detail::JsonReader reader(value, "step", ErrorKind::kProtocol);
  std::string line = FormatTime(reader.Number("ms", -kMaxMs, kMaxMs, 0));
  line += "  " + reader.String("event");
  for (const auto& member : reader.object()) {
    if (member.key() == "ms" || member.key() == "event") {
      continue;
    }
    line += " " + std::string(member.key()) + "=";
    line += member.value().is_string()
                ? std::string(member.value().get_string())
                : boost::json::serialize(member.value());
  }
  return line + "\n";
}

std::string FormatCounts(const detail::JsonReader& reader) {
  std::string line;
  for (const std::string_view name :
       {"retries", "hedges", "restarts", "rejections"}) {
    line += line.empty() ? "" : ", ";
    line += std::string(name) + " " +
            std::to_string(reader.Integer(name, 0, kMaxCount));
  }
  return line + "\n";
}

}  // namespace

std::string FormatExplanation(const boost::json::object& explanation) {
  const boost::json::value document(explanation);
  const detail::JsonReader reader(document, "", ErrorKind::kProtocol);
  std::string text = "decision " + reader.String("decision") + ": " +
                     reader.String("outcome") + "\n" + FormatCounts(reader);
  for (const boost::json::value& step : reader.Array("query")) {
    text += FormatStep(step);
  }
  for (const boost::json::value& item : reader.Array("parts")) {
    const detail::JsonReader part(item, "parts", ErrorKind::kProtocol);
    const std::string target = part.String("answered_by", "");
    text += "shard " + part.String("shard") +
            (target.empty() ? ": no result" : ": answered by " + target) + "\n";
    for (const boost::json::value& step : part.Array("steps")) {
      text += FormatStep(step);
    }
  }
  return text;
}

}  // namespace auburnyard
