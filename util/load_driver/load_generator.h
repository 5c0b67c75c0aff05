#ifndef AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_GENERATOR_H_
#define AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_GENERATOR_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "src/net/http_connection.h"
#include "util/load_driver/arrival_schedule.h"
#include "util/load_driver/load_sample.h"

namespace auburnyard::util {

/// Open-loop load generator. It never waits for a response before it sends the
/// next request: a request that finds no idle connection opens one. Runs on a
/// single-threaded context.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& context, LoadOptions options);

  /// Sends until the duration has elapsed; the context runs out of work when
  /// the last response or time-out has arrived.
  void Start();
  const std::vector<LoadSample>& samples() const { return this->collected; }
  TimePoint started_at() const { return this->start_time; }

 private:
  void ScheduleNext();
  void Send(const PlannedRequest& planned);
  std::shared_ptr<HttpConnection> AcquireConnection(const std::string& host);
  void OnResult(const PlannedRequest& planned,
                LoadSample sample,
                const ExchangeResult& result);

  boost::asio::io_context& context;
  LoadOptions options;
  ArrivalSchedule schedule;
  boost::asio::steady_timer timer;
  TimePoint start_time;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
  std::vector<LoadSample> collected;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_LOAD_DRIVER_LOAD_GENERATOR_H_
