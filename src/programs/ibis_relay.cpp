#include "serve.hpp"  // for serve

int main(int argc, char** argv) {
  return ibis::programs::serve(argc, argv, ibis::policy::node_role::relay);
}
