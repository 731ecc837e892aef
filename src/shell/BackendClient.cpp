// BackendClient.cpp - Pooled connections to one backend server.

#include "BackendClient.h"
#include "BackendExchange.h"
#include "Endpoint.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <sys/socket.h>
#include <unordered_map>
#include <unordered_set>

namespace figsail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using SocketPtr = std::shared_ptr<tcp::socket>;
using Clock = std::chrono::steady_clock;

namespace {

/// One request from its start to its report.
struct BackendCall {
  explicit BackendCall(asio::io_context &Context) : Timer(Context) {}

  std::shared_ptr<BackendExchange::Message> Message;
  std::function<void(BackendExchange::Result)> OnEnd;
  asio::steady_timer Timer; ///< Expires when the budget is spent.
  SocketPtr Socket;         ///< Connecting or in use; otherwise null.
  std::shared_ptr<BackendExchange> Exchange; ///< Set once writing may begin.
  bool Pooled = false; ///< The connection carried a request before.
  bool Ended = false;
};
using CallPtr = std::shared_ptr<BackendCall>;

/// A connection without a request.
struct IdleConnection {
  SocketPtr Socket;
  Clock::time_point Since;
};

/// Returns whether an unused connection is still open and has no bytes to read,
/// which could only be the end of the stream or a response to nobody.
bool quiet(tcp::socket &Socket) {
  char Byte = 0;
  ssize_t Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct BackendClient::State : std::enable_shared_from_this<State> {
  State(asio::io_context &Context, BackendHandler &Handler,
        BackendSettings Settings)
      : Context(Context), Handler(Handler), Settings(std::move(Settings)),
        Endpoint(parseEndpoint(this->Settings.Address)),
        Memory(std::make_shared<ResponseMemory>(
            this->Settings.MaxResponseMemory)) {}

  CallPtr begin(HttpRequest Request, Duration Budget) {
    auto Call = std::make_shared<BackendCall>(Context);
    Call->Message = std::make_shared<BackendExchange::Message>(
        backendMessage(std::move(Request), Settings.Address));
    Calls.insert(Call);
    Call->Timer.expires_after(Budget);
    Call->Timer.async_wait(
        [Self = shared_from_this(), Call](beast::error_code Error) {
          if (!Error && !Call->Ended)
            Self->budgetSpent(Call);
        });
    if (Budget.count() > 0 && Endpoint)
      acquire(Call);
    else
      asio::post(Context, [Self = shared_from_this(), Call] {
        Self->end(Call, BackendError::NotSent);
      });
    return Call;
  }

  /// Finds a connection for a call, or lets it wait for one.
  void acquire(const CallPtr &Call) {
    while (!Idle.empty()) {
      auto [Socket, Since] = std::move(Idle.back());
      Idle.pop_back();
      beast::error_code Ignored;
      Socket->cancel(Ignored);
      if (Clock::now() - Since > Settings.MaxIdle || !quiet(*Socket)) {
        drop(Socket);
        continue;
      }
      Call->Pooled = true;
      send(Call, std::move(Socket));
      return;
    }
    if (Open < Settings.MaxConnections)
      connect(Call);
    else
      Waiting.push_back(Call);
  }

  void connect(const CallPtr &Call) {
    ++Open;
    Call->Pooled = false;
    Call->Socket = std::make_shared<tcp::socket>(Context);
    Call->Socket->async_connect(
        *Endpoint, [Self = shared_from_this(), Call,
                    Socket = Call->Socket](beast::error_code Error) {
          if (Call->Ended)
            return;
          if (Error) {
            Self->end(Call, BackendError::NotSent);
            return;
          }
          beast::error_code Ignored;
          Socket->set_option(tcp::no_delay(true), Ignored);
          setTcpUserTimeout(*Socket, Self->Settings.UnacknowledgedLimit);
          Self->send(Call, Socket);
        });
  }

  void send(const CallPtr &Call, SocketPtr Socket) {
    Call->Socket = Socket;
    auto Left = std::chrono::duration_cast<Duration>(Call->Timer.expiry() -
                                                     Clock::now());
    if (Settings.SendDeadline)
      Settings.Fields->setDeadline(*Call->Message, Left);
    Call->Exchange = std::make_shared<BackendExchange>(
        std::move(Socket), Call->Message, Settings.MaxResponse,
        *Settings.Fields, Memory,
        [Self = shared_from_this(), Weak = std::weak_ptr<BackendCall>(Call)](
            BackendExchange::Result Outcome, bool Reusable) {
          if (CallPtr Call = Weak.lock())
            Self->exchanged(Call, std::move(Outcome), Reusable);
        });
    Call->Exchange->start();
  }

  void exchanged(const CallPtr &Call, BackendExchange::Result Outcome,
                 bool Reusable) {
    SocketPtr Socket = std::move(Call->Socket);
    Call->Exchange = nullptr;
    const auto *Error = std::get_if<BackendError>(&Outcome);
    bool Stale =
        Error != nullptr && *Error == BackendError::NotSent && Call->Pooled;
    if (Stale) {
      drop(Socket);
      acquire(Call);
      return;
    }
    if (Reusable)
      park(Socket);
    else
      drop(Socket);
    end(Call, std::move(Outcome));
  }

  /// Keeps an unused connection, and closes it once the backend server does.
  void park(const SocketPtr &Socket) {
    Idle.push_back({Socket, Clock::now()});
    Socket->async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this(), Socket](beast::error_code) {
                         Self->readable(Socket);
                       });
  }

  void readable(const SocketPtr &Socket) {
    auto Found = std::ranges::find(Idle, Socket, &IdleConnection::Socket);
    if (Found == Idle.end() || quiet(*Socket))
      return;
    Idle.erase(Found);
    drop(Socket);
  }

  void drop(const SocketPtr &Socket) {
    beast::error_code Ignored;
    Socket->close(Ignored);
    --Open;
  }

  void budgetSpent(const CallPtr &Call) {
    bool MayBeSent = Call->Exchange != nullptr;
    end(Call, MayBeSent ? BackendError::TimedOut : BackendError::NotSent);
  }

  /// Releases what a call holds. Nothing is reported for it afterwards.
  void release(const CallPtr &Call) {
    Call->Ended = true;
    Call->Timer.cancel();
    if (Call->Exchange)
      Call->Exchange->abandon();
    Call->Exchange = nullptr;
    if (Call->Socket)
      drop(Call->Socket);
    Call->Socket = nullptr;
    std::erase(Waiting, Call);
    Calls.erase(Call);
  }

  void end(const CallPtr &Call, BackendExchange::Result Outcome) {
    if (Call->Ended)
      return;
    release(Call);
    auto OnEnd = std::move(Call->OnEnd);
    OnEnd(std::move(Outcome));
    serveWaiting();
  }

  void serveWaiting() {
    while (!Waiting.empty() &&
           (!Idle.empty() || Open < Settings.MaxConnections)) {
      CallPtr Next = std::move(Waiting.front());
      Waiting.pop_front();
      acquire(Next);
    }
  }

  void run(RunId Run, HttpRequest Request, Duration Budget) {
    CallPtr Call = begin(std::move(Request), Budget);
    Call->OnEnd = [this, Run](BackendExchange::Result Outcome) {
      Runs.erase(Run);
      Handler.backendDone({Run, std::move(Outcome)});
    };
    Runs[Run] = std::move(Call);
  }

  void cancel(RunId Run) {
    auto Found = Runs.find(Run);
    if (Found == Runs.end())
      return;
    CallPtr Call = std::move(Found->second);
    Runs.erase(Found);
    release(Call);
    // Reported from the event loop, since the handler is what called.
    asio::post(Context, [Self = shared_from_this(), Run] {
      if (Self->Closed)
        return;
      Self->Handler.backendDone({Run, BackendError::Cancelled});
      Self->serveWaiting();
    });
  }

  void probe(std::string Target) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = std::move(Target);
    CallPtr Call = begin(std::move(Request), Settings.ProbeTimeout);
    Call->OnEnd = [this, Start = Clock::now()](
                      const BackendExchange::Result &Outcome) {
      ProbeDone Done;
      const auto *Response = std::get_if<HttpResponse>(&Outcome);
      Done.Healthy = Response != nullptr && Response->Status == 200;
      if (Response)
        Done.Headers = Response->Headers;
      Done.Took = std::chrono::duration_cast<Duration>(Clock::now() - Start);
      Handler.probeDone(Done);
    };
  }

  void shutDown() {
    Closed = true;
    auto Copy = Calls;
    for (const CallPtr &Call : Copy)
      release(Call);
    Runs.clear();
    closeIdle();
  }

  void closeIdle() {
    auto Unused = std::move(Idle);
    Idle.clear();
    for (const IdleConnection &Entry : Unused)
      drop(Entry.Socket);
  }

  asio::io_context &Context;
  BackendHandler &Handler;
  BackendSettings Settings;
  std::optional<tcp::endpoint> Endpoint;
  std::shared_ptr<ResponseMemory> Memory;
  std::vector<IdleConnection>
      Idle;                    ///< Unused connections, last used at the back.
  std::deque<CallPtr> Waiting; ///< Calls for which no connection is free.
  std::unordered_set<CallPtr> Calls; ///< All calls under way.
  std::unordered_map<RunId, CallPtr> Runs;
  std::size_t Open = 0; ///< Connections connecting, in use or idle.
  bool Closed = false;  ///< The public object is gone.
};

BackendClient::BackendClient(asio::io_context &Context, BackendHandler &Handler,
                             BackendSettings Settings)
    : Impl(std::make_shared<State>(Context, Handler, std::move(Settings))) {}

BackendClient::~BackendClient() { Impl->shutDown(); }

void BackendClient::run(RunId Run, HttpRequest Request, Duration Budget) {
  Impl->run(Run, std::move(Request), Budget);
}

void BackendClient::cancel(RunId Run) { Impl->cancel(Run); }

void BackendClient::probe() { Impl->probe(Impl->Settings.HealthTarget); }

void BackendClient::probe(std::string Target) {
  Impl->probe(std::move(Target));
}

void BackendClient::closeIdle() { Impl->closeIdle(); }

} // namespace figsail
