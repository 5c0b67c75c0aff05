#ifndef AUBURNYARD_UTIL_RELAY_SOAK_CONTACT_LOG_H_
#define AUBURNYARD_UTIL_RELAY_SOAK_CONTACT_LOG_H_

#include <map>
#include <string>
#include <string_view>

#include "auburnyard/clock.h"

namespace auburnyard::util {

/// Records the troubles of hosts, of their domains and of the store. A host is
/// in touch if none of them had a trouble within the contact time.
class ContactLog {
 public:
  explicit ContactLog(Duration contact_time) : contact(contact_time) {}

  /// A trouble that is open already goes on.
  void Begin(const std::string& subject);
  /// Ends an open trouble. No effect if there is none.
  void End(std::string_view subject, TimePoint at);
  /// A trouble without duration.
  void Strike(const std::string& subject, TimePoint at);
  /// Whether the subject has had no trouble since the contact time before `at`.
  bool InTouch(std::string_view subject, TimePoint at) const;

 private:
  struct Trouble {
    bool open = false;
    TimePoint ended{};
  };

  Duration contact;
  std::map<std::string, Trouble, std::less<>> troubles;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_RELAY_SOAK_CONTACT_LOG_H_
