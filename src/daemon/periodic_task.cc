#include "src/daemon/periodic_task.h"

#include <utility>

#include <boost/asio/dispatch.hpp>

namespace auburnyard {

PeriodicTask::PeriodicTask(boost::asio::io_context& context,
                           Duration period,
                           std::function<void()> task)
    : strand(boost::asio::make_strand(context)),
      timer(this->strand),
      interval(period),
      function(std::move(task)) {}

void PeriodicTask::Start() {
  boost::asio::dispatch(this->strand,
                        [self = this->shared_from_this()] { self->Wait(); });
}

void PeriodicTask::Stop() {
  boost::asio::dispatch(this->strand, [self = this->shared_from_this()] {
    self->stopped = true;
    self->timer.cancel();
  });
}

void PeriodicTask::Wait() {
  if (this->stopped) {
    return;
  }
  this->timer.expires_after(this->interval);
  this->timer.async_wait(
      [self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->stopped) {
          self->function();
          self->Wait();
        }
      });
}

}  // namespace auburnyard
