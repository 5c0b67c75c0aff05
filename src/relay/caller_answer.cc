#include "src/relay/caller_answer.h"

#include <boost/beast/http/status.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace auburnyard {

namespace {

constexpr int kMillisecondsPerSecond = 1'000;
constexpr int kDecimals = 3;

// Formats a duration as decimal seconds for the Retry-After header.
std::string Seconds(std::chrono::milliseconds duration) {
  const auto count = duration.count();
  std::string fraction = std::to_string(count % kMillisecondsPerSecond);
  fraction.insert(0, kDecimals - fraction.size(), '0');
  return std::to_string(count / kMillisecondsPerSecond) + "." + fraction;
}

}  // namespace

CallerAnswer MakeRefusal(int status,
                         std::string_view title,
                         std::string_view kind,
                         RunState run,
                         std::chrono::milliseconds retry_after) {
  CallerAnswer answer;
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(status)));
  answer.head = "HTTP/1.1 " + std::to_string(status) + " " +
                std::string(reason) +
                "\r\nContent-Type: application/problem+json\r\n";
  if (retry_after.count() > 0) {
    answer.head += "Retry-After: " + Seconds(retry_after) + "\r\n";
  }
  const boost::json::object problem = {{"title", title},
                                       {"status", status},
                                       {"kind", kind},
                                       {"run", ToString(run)}};
  answer.body = boost::json::serialize(problem);
  return answer;
}

}  // namespace auburnyard
