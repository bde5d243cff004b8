/// A client of the platform's object API, an HTTP interface that is documented in
/// docs/platform-interface.md.
#pragma once

#include <memory>  // for unique_ptr
#include <string>  // for string

#include "ibis/policy/effect.hpp"  // for call_platform
#include "ibis/policy/event.hpp"   // for platform_replied
#include "ibis/runtime/post.hpp"   // for post_event

namespace ibis::runtime {

/// Makes one call and blocks until its reply arrives or its timeout expires.
/// @param address "ip:port" of the platform.
/// @return The reply; its outcome is `unavailable` if there was none.
policy::platform_replied call_platform_sync(const std::string& address,
                                            const policy::call_platform& call);

/// Makes calls without blocking the caller. A few threads share the ordinary calls; one
/// more thread is reserved for watches, which block until a change or their timeout.
class platform_client {
 public:
  /// @param address "ip:port" of the platform.
  /// @param post Receives a `platform_replied` for each call.
  platform_client(std::string address, post_event post);
  ~platform_client();
  platform_client(const platform_client&) = delete;
  platform_client& operator=(const platform_client&) = delete;

  /// Queues a call. May be called from any thread.
  void call(policy::call_platform call);
  /// Aborts all calls and joins the threads.
  void stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace ibis::runtime
