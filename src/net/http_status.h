#ifndef AUBURNYARD_SRC_NET_HTTP_STATUS_H_
#define AUBURNYARD_SRC_NET_HTTP_STATUS_H_

namespace auburnyard {

// Beast's parser accepts any three digits, also 000 and 999.

/// Whether a status ends an exchange. Any other one does not, or is invalid.
constexpr bool IsFinalStatus(int status) {
  return status >= 200 && status <= 599;
}

/// Whether another reply to the same request follows. After 101 the connection
/// has another protocol, which is never asked for.
constexpr bool IsInformationalStatus(int status) {
  return status >= 100 && status <= 199 && status != 101;
}

/// Informational replies accepted before the final one. A few are usual; the
/// limit ends an exchange with a server that sends them without end.
inline constexpr int kMaxInformationalReplies = 8;

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_HTTP_STATUS_H_
