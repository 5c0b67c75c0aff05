#ifndef AUBURNYARD_SRC_DAEMON_PERIODIC_TASK_H_
#define AUBURNYARD_SRC_DAEMON_PERIODIC_TASK_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "auburnyard/clock.h"

namespace auburnyard {

/// Runs a function at a fixed interval until it is stopped.
class PeriodicTask : public std::enable_shared_from_this<PeriodicTask> {
 public:
  PeriodicTask(boost::asio::io_context& context,
               Duration interval,
               std::function<void()> function);

  void Start();
  void Stop();

 private:
  void Wait();

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  boost::asio::steady_timer timer;
  Duration interval;
  std::function<void()> function;
  bool stopped = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_DAEMON_PERIODIC_TASK_H_
