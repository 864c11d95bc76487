#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace LaburnumChute::Async {

/// Threads that each run an io_context of their own. What is bound to one context runs on one
/// thread and needs no lock.
class IoPool
{
public:
    explicit IoPool(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool &) = delete;
    IoPool &operator=(const IoPool &) = delete;

    void start();
    /// Stops the contexts, joins the threads and destroys unfinished coroutines. To be called while
    /// all that the coroutines refer to is alive; sockets and timers may be destroyed after it, but
    /// before the pool.
    void stop();

    std::size_t size() const
    {
        return contexts_.size();
    }
    boost::asio::io_context &at(std::size_t index)
    {
        return *contexts_.at(index);
    }
    /// The index of the context whose thread calls this; 0 on other threads.
    static std::size_t currentIndex();
    /// The contexts in turn.
    boost::asio::io_context &next();

private:
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    /// Lets the coroutines of a context be destroyed before the context is. Destroyed with it, they
    /// would refer to parts of the program that are gone by then.
    class Context : public boost::asio::io_context
    {
    public:
        Context();
        void destroyCoroutines();
    };

    std::vector<std::unique_ptr<Context>> contexts_;
    std::vector<Guard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> turn_{0};
};

} // namespace LaburnumChute::Async
