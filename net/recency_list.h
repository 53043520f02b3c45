/**
 * @file
 * A list of objects in the order in which they were last touched. All functions take constant time.
 *
 *     recency_list<session> idle;
 *     idle.touch(m_place, *this);          // moves to the end, or enters there
 *     session *oldest = idle.oldest();     // null if the list is empty
 */
#pragma once

#include <cstddef>
#include <list>
#include <optional>

namespace reedtrail {

/** Does not own the objects. Each object holds its own place and must leave the list before it is destroyed. */
template<class T>
class recency_list
{
public:
    /** Position of an object in the list, if it is in the list. */
    class place
    {
    public:
        bool isTaken() const
        {
            return m_at.has_value();
        }

    private:
        friend class recency_list;
        std::optional<typename std::list<T *>::iterator> m_at;
    };

    /** Moves an object to the end of the list, and enters it if it is not there. */
    void touch(place &where, T &object)
    {
        if (where.m_at) {
            m_objects.splice(m_objects.end(), m_objects, *where.m_at);
        } else {
            where.m_at = m_objects.insert(m_objects.end(), &object);
        }
    }
    /** Removes an object; does nothing if it is not there. */
    void leave(place &where)
    {
        if (where.m_at) {
            m_objects.erase(*where.m_at);
            where.m_at.reset();
        }
    }
    /** Returns the object that was touched least recently, or null. */
    T *oldest() const
    {
        return m_objects.empty() ? nullptr : m_objects.front();
    }
    std::size_t size() const
    {
        return m_objects.size();
    }
    /** Returns the objects, least recently touched first. */
    const std::list<T *> &objects() const
    {
        return m_objects;
    }

private:
    std::list<T *> m_objects;
};

} // namespace reedtrail
