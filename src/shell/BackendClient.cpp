// BackendClient.cpp - HTTP client for the backend server on the same host.

#include "BackendClient.h"
#include "BackendExchange.h"
#include "Endpoint.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
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

/// A run or health probe whose outcome was not reported yet.
struct PendingRequest {
  explicit PendingRequest(asio::io_context &Context) : Timer(Context) {}

  std::shared_ptr<BackendExchange::Message> Message;
  std::function<void(BackendExchange::Result)> OnEnd;
  asio::steady_timer Timer; ///< Expires at the end of the time budget.
  SocketPtr Socket;         ///< Connecting or in use; otherwise null.
  std::shared_ptr<BackendExchange>
      Exchange; ///< Null until there is a connection to write to.
  bool ReusesConnection = false; ///< It has carried another request.
  bool Ended = false;
};
using PendingRequestPtr = std::shared_ptr<PendingRequest>;

/// An open connection that carries no request.
struct IdleConnection {
  SocketPtr Socket;
  Clock::time_point IdleSince;
};

} // namespace

struct BackendClient::State : std::enable_shared_from_this<State> {
  State(asio::io_context &Context, BackendHandler &Handler,
        BackendSettings Settings)
      : Context(Context), Handler(Handler), Settings(std::move(Settings)),
        Endpoint(parseEndpoint(this->Settings.Address)),
        Memory(std::make_shared<ResponseMemoryBudget>(
            this->Settings.MaxResponseMemory)) {}

  PendingRequestPtr startRequest(HttpRequest Request, Duration Budget) {
    auto Pending = std::make_shared<PendingRequest>(Context);
    Pending->Message = std::make_shared<BackendExchange::Message>(
        backendMessage(std::move(Request), Settings.Address));
    PendingRequests.insert(Pending);
    Pending->Timer.expires_after(Budget);
    Pending->Timer.async_wait(
        [Self = shared_from_this(), Pending](beast::error_code Error) {
          if (!Error && !Pending->Ended)
            Self->budgetExpired(Pending);
        });
    if (Budget.count() > 0 && Endpoint)
      acquireConnection(Pending);
    else
      asio::post(Context, [Self = shared_from_this(), Pending] {
        Self->end(Pending, BackendError::NotSent);
      });
    return Pending;
  }

  /// Assigns a connection to a request, or queues the request until one is
  /// free.
  void acquireConnection(const PendingRequestPtr &Pending) {
    while (!IdleConnections.empty()) {
      auto [Socket, IdleSince] = std::move(IdleConnections.back());
      IdleConnections.pop_back();
      beast::error_code Ignored;
      Socket->cancel(Ignored);
      if (Clock::now() - IdleSince > Settings.MaxIdleTime ||
          !hasNothingToRead(*Socket)) {
        discardIdle(Socket);
        continue;
      }
      Pending->ReusesConnection = true;
      send(Pending, std::move(Socket));
      return;
    }
    if (OpenConnections < Settings.MaxConnections)
      connect(Pending);
    else
      WaitingForConnection.push_back(Pending);
  }

  void connect(const PendingRequestPtr &Pending) {
    ++OpenConnections;
    Pending->ReusesConnection = false;
    Pending->Socket = std::make_shared<tcp::socket>(Context);
    Pending->Socket->async_connect(
        *Endpoint, [Self = shared_from_this(), Pending,
                    Socket = Pending->Socket](beast::error_code Error) {
          if (Pending->Ended)
            return;
          if (Error) {
            Self->end(Pending, BackendError::NotSent);
            return;
          }
          beast::error_code Ignored;
          Socket->set_option(tcp::no_delay(true), Ignored);
          setTcpUserTimeout(*Socket, Self->Settings.UnacknowledgedLimit);
          Self->send(Pending, Socket);
        });
  }

  void send(const PendingRequestPtr &Pending, SocketPtr Socket) {
    Pending->Socket = Socket;
    auto Left = std::chrono::duration_cast<Duration>(Pending->Timer.expiry() -
                                                     Clock::now());
    if (Settings.SendDeadline)
      Settings.Fields->setDeadline(*Pending->Message, Left);
    Pending->Exchange = std::make_shared<BackendExchange>(
        std::move(Socket), Pending->Message, Settings.MaxResponseBody,
        *Settings.Fields, Memory,
        [Self = shared_from_this()](RejectionReason Reason) {
          Self->reject(Reason);
        },
        [Self = shared_from_this(),
         Weak = std::weak_ptr<PendingRequest>(Pending)](
            BackendExchange::Result Outcome, bool Reusable) {
          if (PendingRequestPtr Pending = Weak.lock())
            Self->exchangeEnded(Pending, std::move(Outcome), Reusable);
        });
    Pending->Exchange->start(Settings.LastBytesDelay);
  }

  void exchangeEnded(const PendingRequestPtr &Pending,
                     BackendExchange::Result Outcome, bool Reusable) {
    SocketPtr Socket = std::move(Pending->Socket);
    Pending->Exchange = nullptr;
    const auto *Error = std::get_if<BackendError>(&Outcome);
    bool Stale = Error != nullptr && *Error == BackendError::NotSent &&
                 Pending->ReusesConnection;
    if (Stale) {
      closeConnection(Socket);
      acquireConnection(Pending);
      return;
    }
    if (Reusable)
      keepIdle(Socket);
    else
      closeConnection(Socket);
    end(Pending, std::move(Outcome));
  }

  void reject(RejectionReason Reason) {
    if (!IsShutDown)
      Handler.responseRejected(Reason);
  }

  /// Closes an idle connection, because the server has closed it or written
  /// something without a request.
  void discardIdle(const SocketPtr &Socket) {
    beast::error_code Ignored;
    if (Socket->available(Ignored) > 0)
      reject(RejectionReason::Surplus);
    closeConnection(Socket);
  }

  /// Keeps a connection for reuse, and closes it when the backend server does.
  void keepIdle(const SocketPtr &Socket) {
    IdleConnections.push_back({Socket, Clock::now()});
    Socket->async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this(), Socket](beast::error_code) {
                         Self->idleReadable(Socket);
                       });
  }

  void idleReadable(const SocketPtr &Socket) {
    auto Found =
        std::ranges::find(IdleConnections, Socket, &IdleConnection::Socket);
    if (Found == IdleConnections.end() || hasNothingToRead(*Socket))
      return;
    IdleConnections.erase(Found);
    discardIdle(Socket);
  }

  void closeConnection(const SocketPtr &Socket) {
    beast::error_code Ignored;
    Socket->close(Ignored);
    --OpenConnections;
  }

  void budgetExpired(const PendingRequestPtr &Pending) {
    bool MayBeSent = Pending->Exchange != nullptr;
    end(Pending, MayBeSent ? BackendError::TimedOut : BackendError::NotSent);
  }

  /// Releases the resources of a request. Its outcome is not reported
  /// afterwards.
  void release(const PendingRequestPtr &Pending) {
    Pending->Ended = true;
    Pending->Timer.cancel();
    if (Pending->Exchange)
      Pending->Exchange->abandon();
    Pending->Exchange = nullptr;
    if (Pending->Socket)
      closeConnection(Pending->Socket);
    Pending->Socket = nullptr;
    std::erase(WaitingForConnection, Pending);
    PendingRequests.erase(Pending);
  }

  void end(const PendingRequestPtr &Pending, BackendExchange::Result Outcome) {
    if (Pending->Ended)
      return;
    release(Pending);
    auto OnEnd = std::move(Pending->OnEnd);
    OnEnd(std::move(Outcome));
    startWaitingRequests();
  }

  void startWaitingRequests() {
    while (!WaitingForConnection.empty() &&
           (!IdleConnections.empty() ||
            OpenConnections < Settings.MaxConnections)) {
      PendingRequestPtr Next = std::move(WaitingForConnection.front());
      WaitingForConnection.pop_front();
      acquireConnection(Next);
    }
  }

  void run(RunId Run, HttpRequest Request, Duration Budget) {
    PendingRequestPtr Pending = startRequest(std::move(Request), Budget);
    Pending->OnEnd = [this, Run](BackendExchange::Result Outcome) {
      Runs.erase(Run);
      Handler.backendDone({Run, std::move(Outcome)});
    };
    Runs[Run] = std::move(Pending);
  }

  void cancel(RunId Run) {
    auto Found = Runs.find(Run);
    if (Found == Runs.end())
      return;
    PendingRequestPtr Pending = std::move(Found->second);
    Runs.erase(Found);
    release(Pending);
    // Reported from the event loop, since cancel() is called by the handler.
    asio::post(Context, [Self = shared_from_this(), Run] {
      if (Self->IsShutDown)
        return;
      Self->Handler.backendDone({Run, BackendError::Cancelled});
      Self->startWaitingRequests();
    });
  }

  void probe(std::string Target) {
    HttpRequest Request;
    Request.Method = "GET";
    Request.Target = std::move(Target);
    PendingRequestPtr Pending =
        startRequest(std::move(Request), Settings.ProbeTimeout);
    Pending->OnEnd = [this, Start = Clock::now()](
                         const BackendExchange::Result &Outcome) {
      ProbeDone Done;
      const auto *Response = std::get_if<HttpResponse>(&Outcome);
      Done.Healthy = Response != nullptr && Response->Status == 200;
      if (Response)
        Done.Headers = Response->Headers;
      Done.Elapsed = std::chrono::duration_cast<Duration>(Clock::now() - Start);
      Handler.probeDone(Done);
    };
  }

  void shutDown() {
    IsShutDown = true;
    auto Releasing = PendingRequests;
    for (const PendingRequestPtr &Pending : Releasing)
      release(Pending);
    Runs.clear();
    closeIdle();
  }

  void closeIdle() {
    auto Closing = std::move(IdleConnections);
    IdleConnections.clear();
    for (const IdleConnection &Entry : Closing)
      closeConnection(Entry.Socket);
  }

  asio::io_context &Context;
  BackendHandler &Handler;
  BackendSettings Settings;
  std::optional<tcp::endpoint> Endpoint;
  std::shared_ptr<ResponseMemoryBudget> Memory;
  std::vector<IdleConnection>
      IdleConnections; ///< Connections for reuse, the most recently used at the
                       ///< back.
  std::deque<PendingRequestPtr>
      WaitingForConnection; ///< Requests for which no connection is free.
  std::unordered_set<PendingRequestPtr>
      PendingRequests; ///< All unfinished requests.
  std::unordered_map<RunId, PendingRequestPtr> Runs;
  std::size_t OpenConnections = 0; ///< Connecting, in use or idle.
  bool IsShutDown = false;         ///< The BackendClient is destroyed.
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
