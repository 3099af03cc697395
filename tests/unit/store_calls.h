#ifndef GENTIANDEAL_TESTS_UNIT_STORE_CALLS_H_
#define GENTIANDEAL_TESTS_UNIT_STORE_CALLS_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <utility>

#include "store_watcher.h"

namespace gentiandeal::platform {

/// Plays the platform's store: keeps the calls whose answer is due, in the
/// order sent.
struct StoreCalls {
  struct Call {
    std::string method_;
    std::string path_;
    std::string body_;
    HttpClient::Done done_;
  };
  std::list<Call> calls_;

  StoreCall call() {
    return [this](const char* method, std::string path, std::string body,
                  Duration, HttpClient::Done done) {
      calls_.push_back(
          {method, std::move(path), std::move(body), std::move(done)});
    };
  }

  std::list<Call>::iterator Find(const std::string& path) {
    return std::find_if(calls_.begin(), calls_.end(), [&](const Call& call) {
      return call.path_.compare(0, path.size(), path) == 0;
    });
  }
  bool Awaits(const std::string& path) { return Find(path) != calls_.end(); }

  /// Answers the first call whose path begins so.
  /// @param status 0: the call gets no answer.
  void Answer(const std::string& path, int status, std::string body) {
    const auto found = Find(path);
    BOOST_REQUIRE_MESSAGE(found != calls_.end(), "no call to " << path);
    const HttpClient::Done done = std::move(found->done_);
    calls_.erase(found);
    HttpResponse response;
    response.complete_ = status != 0;
    response.status_ = status;
    response.body_ = std::move(body);
    done(response);
  }
};

}  // namespace gentiandeal::platform

#endif  // GENTIANDEAL_TESTS_UNIT_STORE_CALLS_H_
