#include "Async/IoPool.h"

namespace LaburnumChute::Async {

namespace {

thread_local std::size_t currentThreadIndex = 0;

} // namespace

IoPool::Context::Context()
    : boost::asio::io_context(1)
{
}

void IoPool::Context::destroyCoroutines()
{
    shutdown();
}

IoPool::IoPool(std::size_t threads)
{
    for (std::size_t index = 0; index < threads; ++index) {
        contexts_.push_back(std::make_unique<Context>());
        guards_.push_back(boost::asio::make_work_guard(*contexts_.back()));
    }
}

IoPool::~IoPool()
{
    stop();
}

void IoPool::start()
{
    for (std::size_t index = 0; index < contexts_.size(); ++index) {
        threads_.emplace_back([this, index] {
            currentThreadIndex = index;
            contexts_[index]->run();
        });
    }
}

void IoPool::stop()
{
    for (auto &context : contexts_) {
        context->stop();
    }
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    for (auto &context : contexts_) {
        context->destroyCoroutines();
    }
}

std::size_t IoPool::currentIndex()
{
    return currentThreadIndex;
}

boost::asio::io_context &IoPool::next()
{
    return *contexts_[nextIndex_.fetch_add(1, std::memory_order_relaxed) % contexts_.size()];
}

} // namespace LaburnumChute::Async
