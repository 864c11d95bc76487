# Common compile settings, and one function for each kind of target of this project.

add_library(lcSettings INTERFACE)
target_include_directories(lcSettings INTERFACE
    ${PROJECT_SOURCE_DIR}/Source/Core ${PROJECT_SOURCE_DIR})
# Asio of Boost 1.74 uses std::exchange without including <utility>.
target_compile_options(lcSettings INTERFACE -Wall -Wextra -Wno-interference-size -include utility)
target_compile_definitions(lcSettings INTERFACE
    BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED
    BOOST_LOG_DYN_LINK BOOST_ALL_NO_LIB)
target_link_libraries(lcSettings INTERFACE Threads::Threads)
if(LC_SANITIZE)
    target_compile_options(lcSettings INTERFACE -fsanitize=${LC_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(lcSettings INTERFACE -fsanitize=${LC_SANITIZE})
endif()
if(LC_FUZZERS)
    target_compile_options(lcSettings INTERFACE
        -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
    target_link_options(lcSettings INTERFACE -fsanitize=address,undefined)
endif()

# lc_library(NAME SOURCES file... DEPENDS target...)
function(lc_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC lcSettings ${ARG_DEPENDS})
endfunction()

# lc_program(NAME SOURCES file... DEPENDS target...)
function(lc_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE lcSettings ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# lc_test(LIBRARY SOURCES file... DEPENDS target...): the one test program of a library. Its property
# tests run with a fixed seed, so that every run gives the same verdict.
function(lc_test library)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    lc_program(${library}Tests SOURCES ${ARG_SOURCES}
        DEPENDS ${library} ${ARG_DEPENDS} GTest::gtest GTest::gtest_main rapidcheck)
    include(GoogleTest)
    gtest_discover_tests(${library}Tests TEST_PREFIX ${library}. DISCOVERY_TIMEOUT 60
        PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202")
endfunction()
