#include "util/relay_soak/contact_log.h"

namespace auburnyard::util {

void ContactLog::Begin(const std::string& subject) {
  this->troubles[subject].open = true;
}

void ContactLog::End(std::string_view subject, TimePoint at) {
  const auto found = this->troubles.find(subject);
  if (found != this->troubles.end() && found->second.open) {
    found->second = {.open = false, .ended = at};
  }
}

void ContactLog::Strike(const std::string& subject, TimePoint at) {
  this->troubles[subject].ended = at;
}

bool ContactLog::InTouch(std::string_view subject, TimePoint at) const {
  const auto found = this->troubles.find(subject);
  return found == this->troubles.end() ||
         (!found->second.open && found->second.ended + this->contact <= at);
}

}  // namespace auburnyard::util
