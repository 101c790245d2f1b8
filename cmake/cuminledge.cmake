# Helpers that give every library and program of the project the same shape.

add_library(cuminledge_options INTERFACE)
target_compile_options(cuminledge_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor)
target_compile_definitions(cuminledge_options INTERFACE
    MSGPACK_NO_BOOST
    MSGPACK_USE_STD_VARIANT_ADAPTOR
    SPDLOG_FMT_EXTERNAL
    BOOST_ASIO_NO_DEPRECATED
    BOOST_BIND_GLOBAL_PLACEHOLDERS
    CUMINLEDGE_VERSION="${PROJECT_VERSION}")
target_link_libraries(cuminledge_options INTERFACE Threads::Threads)

# cuminledge_library(NAME base SOURCES src/a.cpp ... LINKS cuminledge_other ...)
function(cuminledge_library)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINKS" ${ARGN})
    add_library(cuminledge_${ARG_NAME} STATIC ${ARG_SOURCES})
    target_include_directories(cuminledge_${ARG_NAME} PUBLIC include PRIVATE src)
    target_link_libraries(cuminledge_${ARG_NAME} PUBLIC cuminledge_options ${ARG_LINKS})
endfunction()

# cuminledge_test(NAME base SOURCES tests/test_a.cpp ... LINKS ...): one test program for a library.
# Linking the Catch2 main keeps each test file free of a main function.
function(cuminledge_test)
    cmake_parse_arguments(ARG "" "NAME;TIMEOUT" "SOURCES;LINKS" ${ARGN})
    if(CUMINLEDGE_PLATFORM_ONLY)
        return()
    endif()
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    add_executable(test_${ARG_NAME} ${ARG_SOURCES})
    target_include_directories(test_${ARG_NAME} PRIVATE src tests)
    target_link_libraries(test_${ARG_NAME} PRIVATE cuminledge_${ARG_NAME} ${ARG_LINKS} Catch2::Catch2WithMain)
    add_test(NAME ${ARG_NAME} COMMAND test_${ARG_NAME})
    set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "RC_PARAMS=seed=20261204") # properties print it when they fail
endfunction()

# cuminledge_program(NAME cuminledge-gateway SOURCES main.cpp LINKS ...)
function(cuminledge_program)
    cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINKS" ${ARGN})
    add_executable(${ARG_NAME} ${ARG_SOURCES})
    target_link_libraries(${ARG_NAME} PRIVATE cuminledge_options ${ARG_LINKS})
    set_target_properties(${ARG_NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
