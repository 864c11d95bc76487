#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace LaburnumChute::Async {

/// A pool of threads that each run their own io_context. Handlers of one context run on one thread
/// and need no lock.
class IoPool
{
public:
    explicit IoPool(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool &) = delete;
    IoPool &operator=(const IoPool &) = delete;

    void start();
    /// Stops the contexts, joins the threads and destroys unfinished coroutines. Must be called
    /// while everything the coroutines refer to is alive; sockets and timers may be destroyed
    /// afterwards, but before the pool.
    void stop();

    std::size_t size() const
    {
        return contexts_.size();
    }
    boost::asio::io_context &at(std::size_t index)
    {
        return *contexts_.at(index);
    }
    /// Index of the context that runs on the calling thread; 0 on threads outside the pool.
    static std::size_t currentIndex();
    /// Returns the contexts in round-robin order.
    boost::asio::io_context &next();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    /// Allows the coroutines of a context to be destroyed before the context itself. Destroyed
    /// together with it, they would refer to objects that no longer exist.
    class Context : public boost::asio::io_context
    {
    public:
        Context();
        void destroyCoroutines();
    };

    std::vector<std::unique_ptr<Context>> contexts_;
    std::vector<Guard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> nextIndex_{0};
};

} // namespace LaburnumChute::Async
